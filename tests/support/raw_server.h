#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lovagedale::testing {

/// A server whose script writes raw bytes, possibly without end. Each
/// connection has a thread and carries one request.
class raw_server {
 public:
  /// The server's side of one connection.
  class peer {
   public:
    explicit peer(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket)) {
      // Bytes that are sent one by one arrive one by one.
      boost::system::error_code ignored;
      socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }
    ~peer() { Close(); }
    peer(const peer&) = delete;
    auto operator=(const peer&) -> peer& = delete;

    /// The head of the request; empty if the client sent none.
    auto ReadRequest() -> std::string {
      std::string request;
      boost::system::error_code error;
      boost::asio::read_until(socket_, boost::asio::dynamic_buffer(request),
                              "\r\n\r\n", error);
      return error ? std::string() : request;
    }

    /// False once the client has closed the connection.
    auto Send(const std::string& bytes) -> bool {
      boost::system::error_code error;
      boost::asio::write(socket_, boost::asio::buffer(bytes), error);
      return !error;
    }
    /// Sends `bytes` again and again until the client closes the connection.
    auto SendForever(const std::string& bytes,
                     std::chrono::milliseconds pause = {}) -> void {
      while (Send(bytes)) std::this_thread::sleep_for(pause);
    }
    /// Returns when the client has closed the connection.
    auto AwaitClose() -> void {
      boost::system::error_code error;
      char byte = 0;
      while (!error) socket_.read_some(boost::asio::buffer(&byte, 1), error);
    }
    /// Ends the answer in an orderly way; the rest of the request can be read.
    auto EndSending() -> void {
      boost::system::error_code ignored;
      socket_.shutdown(boost::asio::socket_base::shutdown_send, ignored);
    }
    /// Closes the connection with a reset instead of an orderly end.
    auto Reset() -> void {
      boost::system::error_code ignored;
      socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      Close();
    }
    /// Resets the connection too if the client has sent bytes that are not
    /// read.
    auto Close() -> void {
      const std::lock_guard lock(mutex_);
      boost::system::error_code ignored;
      socket_.close(ignored);
    }
    /// Ends a blocked read or write of another thread.
    auto Interrupt() -> void {
      const std::lock_guard lock(mutex_);
      boost::system::error_code ignored;
      socket_.shutdown(boost::asio::socket_base::shutdown_both, ignored);
    }

   private:
    std::mutex mutex_;  ///< of opening and closing the socket
    boost::asio::ip::tcp::socket socket_;
  };
  using script = std::function<void(peer&, const std::string& request)>;

  /// Port 0 lets the kernel choose a free one.
  explicit raw_server(script answers, std::uint16_t port = 0)
      : answers_(std::move(answers)),
        acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), port}),
        thread_([this] { Run(); }) {}
  ~raw_server() {
    is_stopped_ = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket wake(context_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (auto& item : connections_) {
      item.client->Interrupt();
      item.thread.join();
    }
  }
  raw_server(const raw_server&) = delete;
  auto operator=(const raw_server&) -> raw_server& = delete;

  auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }
  auto requests() const -> int { return requests_; }
  /// Whether the script of every request so far has ended. Endless scripts end
  /// when the client closes the connection.
  auto AreScriptsEnded() const -> bool {
    for (int i = 0; i < 100 && ended_ != requests_; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return ended_ == requests_;
  }

 private:
  struct connection {
    std::shared_ptr<peer> client;
    std::thread thread;
  };

  auto Run() -> void {
    for (;;) {
      boost::asio::ip::tcp::socket socket(context_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (error || is_stopped_) return;
      const auto client = std::make_shared<peer>(std::move(socket));
      connections_.push_back(
          {client, std::thread([this, client] { Serve(*client); })});
    }
  }
  auto Serve(peer& client) -> void {
    const auto request = client.ReadRequest();
    if (!request.empty()) {
      ++requests_;
      answers_(client, request);
      ++ended_;
    }
    client.Close();
  }

  script answers_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> ended_ = 0;
  std::list<connection> connections_;
  std::thread thread_;
};

}  // namespace lovagedale::testing
