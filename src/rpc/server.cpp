#include "lovagedale/rpc/server.h"

#include <sys/socket.h>

#include "lovagedale/common/spawn.h"
#include "lovagedale/rpc/connection.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int kAckTimeoutMs = 5'000;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

auto Listen(asio::io_context& context, const std::string& host,
            std::uint16_t port, bool share_port) -> tcp::acceptor {
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(host), port);
    tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    if (share_port) acceptor.set_option(reuse_port(true));
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
    return acceptor;
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + host + ":" +
                             std::to_string(port) + ": " +
                             error.code().message());
  }
}

rpc_server::rpc_server(asio::io_context& context, const std::string& host,
                       std::uint16_t port, rpc_handler handler)
    : acceptor_(Listen(context, host, port, /*share_port=*/false)),
      handler_(std::make_shared<rpc_handler>(std::move(handler))),
      faults_(std::make_shared<message_faults>()),
      connections_(
          std::make_shared<std::set<std::shared_ptr<frame_connection>>>()) {
  SpawnTask(context, [this](asio::yield_context yield) { AcceptLoop(yield); });
}

rpc_server::~rpc_server() { Stop(); }

auto rpc_server::AcceptLoop(asio::yield_context yield) -> void {
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.async_accept(socket, yield[error]);
    if (error == asio::error::operation_aborted) return;
    if (error) continue;
    Serve(std::move(socket));
  }
}

auto rpc_server::Serve(tcp::socket socket) -> void {
  ConfigureSocket(socket, kAckTimeoutMs);
  boost::system::error_code error;
  const auto peer = socket.remote_endpoint(error).address().to_string();
  auto connection = std::make_shared<frame_connection>(std::move(socket));
  connections_->insert(connection);
  std::weak_ptr<frame_connection> weak = connection;
  connection->Start(
      [weak, peer, handler = handler_, faults = faults_](
          const frame_header& header, std::string body) {
        if (header.kind == frame_kind::kPing) {
          if (auto open = weak.lock()) {
            open->Send(header.call_id, frame_kind::kPong, "");
          }
          return;
        }
        rpc_reply reply = [weak, header](const std::string& answer) {
          if (header.kind != frame_kind::kRequest) return;
          if (auto open = weak.lock()) {
            open->Send(header.call_id, frame_kind::kResponse, answer,
                       header.format.written == kFirstFormat);
          }
        };
        try {
          (*handler)(std::move(body), std::move(reply));
        } catch (const std::exception& error) {
          faults->Record(peer, error.what());
          if (header.kind != frame_kind::kRequest) return;
          if (auto open = weak.lock()) open->Close();
        }
      },
      [weak, connections = connections_] {
        if (auto closed = weak.lock()) connections->erase(closed);
      });
}

auto rpc_server::Stop() -> void {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : *connections_) connection->Close();
  connections_->clear();
}

}  // namespace lovagedale
