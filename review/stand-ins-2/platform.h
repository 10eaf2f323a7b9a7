// Stand-ins of the platform's list of replicas and of replicas.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using http_request = http::request<http::string_body>;

/// An address on the loopback interface.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto ToString() const -> std::string;
};

/// Writes what was sent, answered and run to a file, with the time in
/// milliseconds since the start. Throws std::runtime_error if the file cannot
/// be opened.
class recorder {
 public:
  explicit recorder(const std::string& path);

  /// Milliseconds since the start.
  auto NowMs() const -> std::int64_t;
  auto Write(const std::string& line) -> void;

 private:
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_;
};

/// Suspends the calling fiber.
auto Pause(std::chrono::milliseconds duration, asio::yield_context yield)
    -> void;

/// Starts a fiber. An exception that escapes it ends the event loop.
auto Spawn(asio::io_context& context,
           std::function<void(asio::yield_context)> run) -> void;

/// An entry of the list of replicas.
struct listed_replica {
  std::string id;
  std::string service;
  endpoint address;
  std::string zone;
  std::string version = "v1";
  int capacity = 8;
  std::string state = "ready";
};

/// The provider's list: GET /replicas, one page.
class replica_list {
 public:
  /// Listens at once. Throws boost::system::system_error.
  replica_list(asio::io_context& context, const endpoint& address);

  auto Set(std::vector<listed_replica> replicas) -> void;

 private:
  auto Accept(asio::yield_context yield) -> void;

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::shared_ptr<std::string> body_;
};

/// One connection of a replica: what a request handler may do with it.
struct replica_connection {
  tcp::socket& socket;
  /// Of the requests on this connection, from 0.
  int number = 0;
};

/// Handles a request of which the replica is the named target; returns the
/// bytes to be sent in answer.
using request_handler = std::function<std::string(
    const http_request&, const replica_connection&, asio::yield_context)>;

/// Value of the header that carries the replica's signature (MAC).
auto SignatureOf(const std::string& request_id) -> std::string;
/// Body of the answers of sound replicas.
auto BodyOf(const std::string& request_id) -> std::string;
/// A whole answer: status, signature, id and a length.
auto MakeAnswer(const http_request& request, unsigned status) -> std::string;
/// A whole stream of `events` numbered events, in chunks.
auto MakeStream(const http_request& request, int events) -> std::string;
/// Value of a header; empty if absent.
auto HeaderOf(const http_request& request, const char* name) -> std::string;

/// A replica. Serves one request at a time on a connection, rejects requests
/// for other replicas with 421 and answers the health check.
class replica {
 public:
  /// Listens at once. Throws boost::system::system_error.
  replica(asio::io_context& context, listed_replica listing, recorder& record,
          request_handler handler);

  auto listing() const -> const listed_replica& { return listing_; }
  /// Requests that have run, by id.
  auto runs() const -> const std::map<std::string, int>& { return runs_; }

 private:
  auto Accept(asio::yield_context yield) -> void;
  auto Serve(tcp::socket& socket, asio::yield_context yield) -> void;

  asio::io_context& context_;
  listed_replica listing_;
  recorder& record_;
  request_handler handler_;
  tcp::acceptor acceptor_;
  std::map<std::string, int> runs_;
};

}  // namespace review
