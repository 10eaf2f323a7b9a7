#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "lovagedale/rpc/message_faults.h"

namespace lovagedale {

class frame_connection;

/// Sends the answer to one request; later calls and calls for one-way frames
/// do nothing. May be kept and called after the handler has returned.
using rpc_reply = std::function<void(const std::string& body)>;
using rpc_handler = std::function<void(std::string body, rpc_reply reply)>;

/// Accepts framed connections and passes each request to the handler, on the
/// thread that runs `context`. A handler that throws has not understood the
/// message: that is counted, and logged once for each peer and reason. A
/// request then gets no answer and the connection is closed; after a one-way
/// message it stays open.
class rpc_server {
 public:
  /// Starts to listen; port 0 selects a free port. Throws std::runtime_error
  /// naming the address if it cannot.
  rpc_server(boost::asio::io_context& context, const std::string& host,
             std::uint16_t port, rpc_handler handler);
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  auto operator=(const rpc_server&) -> rpc_server& = delete;

  auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }
  auto Stop() -> void;
  auto unreadable_messages() const -> std::uint64_t { return faults_->count(); }

 private:
  auto AcceptLoop(boost::asio::yield_context yield) -> void;
  auto Serve(boost::asio::ip::tcp::socket socket) -> void;

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<rpc_handler> handler_;
  std::shared_ptr<message_faults> faults_;
  std::shared_ptr<std::set<std::shared_ptr<frame_connection>>> connections_;
};

/// Opens a listening socket. With `share_port`, several sockets of this
/// process may listen on the same port, and the kernel distributes the
/// connections among them.
auto Listen(boost::asio::io_context& context, const std::string& host,
            std::uint16_t port, bool share_port)
    -> boost::asio::ip::tcp::acceptor;

}  // namespace lovagedale
