// A TCP relay for tests of hosts that lose their connections to servers.
// Forwards each listening port to a target port on loopback and reads commands,
// one a line:
//   hang    open connections carry no bytes any more, new ones are never made
//   reset   open connections are reset, new ones refused
//   refuse  open connections go on, new ones are refused
//   heal    new connections are made again; those that hang never carry bytes

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <iostream>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Both ends of one forwarded connection.
struct forwarded_connection {
  explicit forwarded_connection(tcp::socket accepted)
      : near(std::move(accepted)), far(near.get_executor()) {}

  tcp::socket near;
  tcp::socket far;
  bool is_silent = false;
};

class relayed_port {
 public:
  relayed_port(asio::io_context& context, std::uint16_t port,
               std::uint16_t target_port)
      : context_(context), port_(port), target_port_(target_port) {
    Open();
  }

  auto Open() -> void {
    Close();
    acceptor_.emplace(context_, tcp::endpoint(Loopback(), port_));
    Accept();
  }
  auto Close() -> void {
    fillers_.clear();
    acceptor_.reset();
  }
  /// Listens without accepting, with a queue that is full.
  auto FillQueue() -> void {
    constexpr int kFillers = 3;
    Close();
    acceptor_.emplace(context_);
    acceptor_->open(tcp::v4());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind({Loopback(), port_});
    acceptor_->listen(0);
    auto endpoint = acceptor_->local_endpoint();
    for (int i = 0; i < kFillers; ++i) {
      auto& socket = fillers_.emplace_back(context_, tcp::v4());
      socket.non_blocking(true);
      // Connects without waiting, unlike socket.connect().
      ::connect(socket.native_handle(), endpoint.data(),
                static_cast<socklen_t>(endpoint.size()));
    }
  }
  auto Silence() -> void {
    for (const auto& connection : connections_) connection->is_silent = true;
  }
  auto Reset() -> void {
    boost::system::error_code ignored;
    for (const auto& connection : connections_) {
      connection->near.set_option(asio::socket_base::linger(true, 0), ignored);
      connection->near.close(ignored);
      connection->far.close(ignored);
    }
    connections_.clear();
  }

 private:
  static auto Loopback() -> asio::ip::address {
    return asio::ip::address_v4::loopback();
  }
  auto Accept() -> void {
    acceptor_->async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) return;
          const auto connection =
              std::make_shared<forwarded_connection>(std::move(socket));
          connections_.push_back(connection);
          asio::spawn(
              context_,
              [this, connection](asio::yield_context yield) {
                Serve(connection, yield);
              },
              asio::detached);
          Accept();
        });
  }
  auto Serve(const std::shared_ptr<forwarded_connection>& connection,
             asio::yield_context yield) -> void {
    boost::system::error_code error;
    connection->far.async_connect({Loopback(), target_port_}, yield[error]);
    if (error) {
      connection->near.close(error);
      return;
    }
    asio::spawn(
        context_,
        [connection](asio::yield_context back) {
          Forward(*connection, connection->far, connection->near, back);
        },
        asio::detached);
    Forward(*connection, connection->near, connection->far, yield);
    connections_.remove(connection);
  }
  static auto Forward(const forwarded_connection& connection, tcp::socket& from,
                      tcp::socket& to, asio::yield_context yield) -> void {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    for (;;) {
      const auto bytes =
          from.async_read_some(asio::buffer(buffer), yield[error]);
      if (error) {
        if (!connection.is_silent)
          to.shutdown(tcp::socket::shutdown_send, error);
        return;
      }
      if (connection.is_silent) continue;
      asio::async_write(to, asio::buffer(buffer.data(), bytes), yield[error]);
      if (error) return;
    }
  }

  asio::io_context& context_;
  std::uint16_t port_;
  std::uint16_t target_port_;
  std::optional<tcp::acceptor> acceptor_;
  std::vector<tcp::socket> fillers_;
  std::list<std::shared_ptr<forwarded_connection>> connections_;
};

using port_list = std::vector<std::unique_ptr<relayed_port>>;

/// False for an unknown command.
auto Execute(const std::string& command, port_list& ports) -> bool {
  for (const auto& port : ports) {
    if (command == "hang") {
      port->Silence();
      port->FillQueue();
    } else if (command == "reset") {
      port->Close();
      port->Reset();
    } else if (command == "refuse") {
      port->Close();
    } else if (command == "heal") {
      port->Open();
    } else {
      return false;
    }
  }
  return true;
}

auto ReadCommands(asio::posix::stream_descriptor& input, std::string& text,
                  port_list& ports) -> void {
  asio::async_read_until(
      input, asio::dynamic_buffer(text), '\n',
      [&](boost::system::error_code error, std::size_t bytes) {
        if (error) return;
        const auto command = text.substr(0, bytes - 1);
        text.erase(0, bytes);
        if (!Execute(command, ports)) {
          std::cerr << "unknown command: " << command << std::endl;
        }
        ReadCommands(input, text, ports);
      });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  asio::io_context context(1);
  port_list ports;
  for (int i = 1; i < argc; ++i) {
    const std::string port_pair(argv[i]);
    const auto colon = port_pair.find(':');
    if (colon == std::string::npos) {
      std::cerr << "usage: cut_relay PORT:TARGET_PORT...\n";
      return 2;
    }
    ports.push_back(std::make_unique<relayed_port>(
        context, static_cast<std::uint16_t>(std::stoi(port_pair)),
        static_cast<std::uint16_t>(std::stoi(port_pair.substr(colon + 1)))));
  }
  asio::posix::stream_descriptor input(context, ::dup(0));
  std::string text;
  ReadCommands(input, text, ports);
  context.run();
  return 0;
}
