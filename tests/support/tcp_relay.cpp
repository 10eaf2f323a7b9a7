// A TCP relay for tests of network partitions: forwards each listening port to
// a target. SIGUSR1 cuts silently: open connections stay open and carry
// nothing, new ones are accepted and carry nothing. SIGUSR2 heals for new
// connections; those that were open during a cut stay silent for good.

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

/// Whether bytes pass, and how often a cut has happened.
struct relay_state {
  bool cut = false;
  std::uint64_t cuts = 0;
};

/// Both ends of one forwarded connection.
struct forwarded_connection {
  explicit forwarded_connection(tcp::socket socket)
      : near(std::move(socket)), far(near.get_executor()) {}
  tcp::socket near;
  tcp::socket far;
  std::uint64_t born = 0;
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
    // Bytes of a cut connection vanish, its end is not passed on.
    const bool silent = state.cut || state.cuts != connection->born;
    if (error) {
      if (!silent) to.shutdown(tcp::socket::shutdown_send, error);
      return;
    }
    if (silent) continue;
    asio::async_write(to, asio::buffer(buffer.data(), bytes), yield[error]);
    if (error) return;
  }
}

auto Serve(tcp::socket socket, std::uint16_t target, const relay_state& state,
           std::vector<std::shared_ptr<forwarded_connection>>& kept,
           asio::yield_context yield) -> void {
  auto connection = std::make_shared<forwarded_connection>(std::move(socket));
  kept.push_back(connection);
  connection->born = state.cuts;
  boost::system::error_code error;
  if (!state.cut) {
    connection->far.async_connect({asio::ip::make_address("127.0.0.1"), target},
                                  yield[error]);
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

auto Accept(asio::io_context& context, std::uint16_t port, std::uint16_t target,
            const relay_state& state,
            std::vector<std::shared_ptr<forwarded_connection>>& kept) -> void {
  asio::spawn(
      context,
      [&, port, target](asio::yield_context yield) {
        tcp::acceptor acceptor(context,
                               {asio::ip::make_address("127.0.0.1"), port});
        for (;;) {
          tcp::socket socket(context);
          acceptor.async_accept(socket, yield);
          asio::spawn(
              context,
              [&, target,
               socket = std::move(socket)](asio::yield_context serve) mutable {
                Serve(std::move(socket), target, state, kept, serve);
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
    if (signal == SIGUSR1 && !state.cut) ++state.cuts;
    state.cut = signal == SIGUSR1;
    WaitForSignals(signals, state);
  });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  asio::io_context context(1);
  relay_state state;
  std::vector<std::shared_ptr<forwarded_connection>> kept;
  for (int i = 1; i < argc; ++i) {
    const std::string pair(argv[i]);
    const auto colon = pair.find(':');
    if (colon == std::string::npos) {
      std::cerr << "usage: tcp_relay PORT:TARGET...\n";
      return 2;
    }
    Accept(context, static_cast<std::uint16_t>(std::stoi(pair)),
           static_cast<std::uint16_t>(std::stoi(pair.substr(colon + 1))), state,
           kept);
  }
  asio::signal_set signals(context, SIGUSR1, SIGUSR2);
  WaitForSignals(signals, state);
  context.run();
  return 0;
}
