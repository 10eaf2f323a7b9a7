// Stand-ins on loopback addresses for the review's scripts: the provider's list
// of replicas, replicas, consumers and the operator. All run as fibers of one
// thread.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Milliseconds on the steady clock since the program's start.
auto NowMs() -> std::int64_t;
/// Suspends the fiber.
auto Sleep(std::chrono::milliseconds duration, asio::yield_context yield)
    -> void;
/// Parses IP:PORT. Throws std::exception if it is not that.
auto ParseAddress(const std::string& text) -> tcp::endpoint;
auto ToString(const tcp::endpoint& address) -> std::string;
/// Hexadecimal digits that differ at each call.
auto RandomId() -> std::string;

/// Lines with the time in milliseconds, written to a file as they come.
class record_file {
 public:
  explicit record_file(const std::string& path) : out_(path) {}
  auto Line(const std::string& text) -> void {
    out_ << NowMs() << ' ' << text << '\n' << std::flush;
  }

 private:
  std::ofstream out_;
};

using http_request = http::request<http::string_body>;

/// How one attempt of a consumer ended.
struct call_result {
  std::string id;
  std::int64_t sent_ms = 0;   ///< when the last byte was written
  std::int64_t ended_ms = 0;  ///< when the answer or the connection ended
  bool was_sent = false;      ///< the whole request was written
  bool is_complete = false;   ///< a complete answer arrived
  bool has_timed_out = false;
  unsigned status = 0;      ///< 0 without a head
  std::string signature;    ///< of the replica; empty if none
  std::string answered_id;  ///< X-Lovagedale-Request-Id; empty if none
  std::string body;
  std::string error;  ///< empty if complete
};

/// A consumer's connection, which may carry several requests.
class consumer_connection {
 public:
  explicit consumer_connection(asio::io_context& context) : stream_(context) {}
  /// False if no connection was made within a second.
  auto Connect(const tcp::endpoint& address, asio::yield_context yield) -> bool;
  /// Sends the request under a new id, with its time limit, and reads the
  /// answer until that has passed. Reports failures in the result.
  auto Call(http_request request, std::chrono::milliseconds time_limit,
            asio::yield_context yield) -> call_result;
  /// Whether another request may follow.
  auto IsOpen() const -> bool { return is_open_; }

 private:
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool is_open_ = false;
};

/// A request on a new connection; see consumer_connection.
auto CallOnce(asio::io_context& context, const tcp::endpoint& address,
              const http_request& request, std::chrono::milliseconds time_limit,
              asio::yield_context yield) -> call_result;

/// Accepts connections and serves each in a fiber.
using connection_handler =
    std::function<void(tcp::socket&, asio::yield_context)>;
/// Throws boost::system::system_error if the address is in use.
auto Serve(asio::io_context& context, const tcp::endpoint& address,
           connection_handler handler) -> void;

/// A request as a replica began to work on it.
struct replica_run {
  std::string id;  ///< X-Lovagedale-Request-Id
  std::int64_t began_ms = 0;
  std::int64_t answered_ms = -1;  ///< -1 while not answered
};

/// A replica of one service. Runs `capacity` requests at once, queues some more
/// and rejects the others.
struct replica {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";  ///< of its software
  tcp::endpoint address;
  std::uint32_t capacity = 6;
  std::chrono::milliseconds work{60};
  std::string state = "ready";  ///< in the provider's list
  /// More headers of the answer to a request: lines that end with CRLF.
  std::function<std::string(const http_request&)> more_headers;
  /// Whether the replica answers the request with 421, as one for a model that
  /// it does not have.
  std::function<bool(const http_request&)> rejects;
  /// Whether the replica fails the request: it answers 500 after its work.
  std::function<bool(const http_request&)> fails;
  /// Body of the answer to a request; one line that names it if empty.
  std::function<std::string(const http_request&)> body;
  /// The replica sends and begins nothing before this time.
  std::int64_t silent_until_ms = 0;
  /// Called before an answer is written on the connection; may write to it.
  /// `served` answers have been written there before.
  std::function<void(tcp::socket&, std::size_t served, asio::yield_context)>
      before_answer;
  std::vector<replica_run> runs;
  /// Ids of the requests that have arrived, whether begun or not.
  std::set<std::string> arrivals;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

using replica_list = std::vector<std::shared_ptr<replica>>;

/// Serves `item` at its address until the program ends.
auto ServeReplica(asio::io_context& context,
                  const std::shared_ptr<replica>& item) -> void;
/// Serves GET /replicas; `replicas` must outlive the context.
auto ServeReplicaList(asio::io_context& context, const tcp::endpoint& address,
                      const replica_list& replicas) -> void;

/// Writes a line for each request that the replicas began to work on.
auto RecordRuns(const replica_list& replicas, record_file& record) -> void;

/// Sends the config until it is acknowledged; false after 15 s.
auto PutConfig(asio::io_context& context,
               const std::vector<tcp::endpoint>& control,
               const std::string& document, asio::yield_context yield) -> bool;
/// One call of the operator to one control replica, which has a second.
auto OperatorCall(asio::io_context& context, const tcp::endpoint& control,
                  http::verb method, const std::string& path,
                  const std::string& body, asio::yield_context yield)
    -> call_result;
/// The same call to one control replica after the other until one answers with
/// a status below 500; without a status after 15 s.
auto OperatorCallUntilAnswered(asio::io_context& context,
                               const std::vector<tcp::endpoint>& control,
                               http::verb method, const std::string& path,
                               const std::string& body,
                               asio::yield_context yield) -> call_result;
/// Whether the node answers GET /api/readyz with 200 within a second.
auto IsReady(asio::io_context& context, const tcp::endpoint& readiness,
             asio::yield_context yield) -> bool;
/// Waits until all nodes are ready; false after 15 s.
auto AwaitReady(asio::io_context& context,
                const std::vector<tcp::endpoint>& readiness,
                asio::yield_context yield) -> bool;

/// An entry process that the script has started.
struct entry_node {
  tcp::endpoint client;
  tcp::endpoint readiness;
  int pid = 0;
};

/// Arguments of a case's driver: KEY=VALUE, lists separated by commas.
struct case_arguments {
  tcp::endpoint directory;             ///< directory=IP:PORT
  std::vector<tcp::endpoint> control;  ///< control=IP:PORT,...
  std::vector<entry_node> entries;     ///< entries=CLIENT/READINESS/PID,...
  std::string replica_host;            ///< replicas=IP
  std::string record;                  ///< record=PATH
  /// pids=PATH,...: files with the process ids of supervised programs.
  std::vector<std::string> pid_files;
  bool has_trouble = true;  ///< trouble=0 or 1
};
/// Throws std::exception for an argument that is not valid.
auto ParseArguments(int argc, char** argv) -> case_arguments;

/// Runs `body` in a fiber and returns its exit code; kNotRun if it throws or
/// takes longer than `limit`.
auto RunCase(asio::io_context& context, std::chrono::seconds limit,
             std::function<int(asio::yield_context)> body) -> int;

}  // namespace review
