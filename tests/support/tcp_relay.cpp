// A TCP relay for tests of network partitions: forwards each listening port to
// a target port on loopback. SIGUSR1 starts a silent partition: open
// connections stay open and new ones are accepted, but no bytes pass. SIGUSR2
// ends it for new connections; those that were open during the partition never
// carry bytes again.

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Whether the network is partitioned, and how often it has been.
struct relay_state {
  bool is_partitioned = false;
  std::uint64_t partition_count = 0;
};

/// Both ends of one forwarded connection.
struct forwarded_connection {
  explicit forwarded_connection(tcp::socket socket)
      : near(std::move(socket)), far(near.get_executor()) {}
  tcp::socket near;
  tcp::socket far;
  std::uint64_t partition_count_at_accept = 0;
};

auto Forward(const std::shared_ptr<forwarded_connection>& connection,
             bool from_near, const relay_state& state,
             asio::yield_context yield) -> void {
  auto& from = from_near ? connection->near : connection->far;
  auto& to = from_near ? connection->far : connection->near;
  std::array<char, 16384> buffer{};
  boost::system::error_code error;
  for (;;) {
    const auto bytes = from.async_read_some(asio::buffer(buffer), yield[error]);
    // A partitioned connection discards bytes and doesn't forward the end of
    // the stream.
    const bool is_discarding =
        state.is_partitioned ||
        state.partition_count != connection->partition_count_at_accept;
    if (error) {
      if (!is_discarding) to.shutdown(tcp::socket::shutdown_send, error);
      return;
    }
    if (is_discarding) continue;
    asio::async_write(to, asio::buffer(buffer.data(), bytes), yield[error]);
    if (error) return;
  }
}

auto Serve(tcp::socket socket, std::uint16_t target_port,
           const relay_state& state,
           std::vector<std::shared_ptr<forwarded_connection>>& connections,
           asio::yield_context yield) -> void {
  auto connection = std::make_shared<forwarded_connection>(std::move(socket));
  connections.push_back(connection);
  connection->partition_count_at_accept = state.partition_count;
  boost::system::error_code error;
  if (!state.is_partitioned) {
    connection->far.async_connect(
        {asio::ip::make_address("127.0.0.1"), target_port}, yield[error]);
    if (error) {
      connection->near.close(error);
      return;
    }
    asio::spawn(
        yield.get_executor(),
        [connection, &state](asio::yield_context back) {
          Forward(connection, /*from_near=*/false, state, back);
        },
        asio::detached);
  }
  Forward(connection, /*from_near=*/true, state, yield);
}

auto Accept(asio::io_context& context, std::uint16_t port,
            std::uint16_t target_port, const relay_state& state,
            std::vector<std::shared_ptr<forwarded_connection>>& connections)
    -> void {
  asio::spawn(
      context,
      [&, port, target_port](asio::yield_context yield) {
        tcp::acceptor acceptor(context,
                               {asio::ip::make_address("127.0.0.1"), port});
        for (;;) {
          tcp::socket socket(context);
          acceptor.async_accept(socket, yield);
          asio::spawn(
              context,
              [&, target_port,
               socket = std::move(socket)](asio::yield_context serve) mutable {
                Serve(std::move(socket), target_port, state, connections,
                      serve);
              },
              asio::detached);
        }
      },
      [](std::exception_ptr failure) {
        if (failure) std::rethrow_exception(failure);
      });
}

auto WaitForSignals(asio::signal_set& signals, relay_state& state) -> void {
  signals.async_wait([&](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGUSR1 && !state.is_partitioned) ++state.partition_count;
    state.is_partitioned = signal == SIGUSR1;
    WaitForSignals(signals, state);
  });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  asio::io_context context(1);
  relay_state state;
  std::vector<std::shared_ptr<forwarded_connection>> connections;
  for (int i = 1; i < argc; ++i) {
    const std::string port_pair(argv[i]);
    const auto colon = port_pair.find(':');
    if (colon == std::string::npos) {
      std::cerr << "usage: tcp_relay PORT:TARGET_PORT...\n";
      return 2;
    }
    Accept(context, static_cast<std::uint16_t>(std::stoi(port_pair)),
           static_cast<std::uint16_t>(std::stoi(port_pair.substr(colon + 1))),
           state, connections);
  }
  asio::signal_set signals(context, SIGUSR1, SIGUSR2);
  WaitForSignals(signals, state);
  context.run();
  return 0;
}
