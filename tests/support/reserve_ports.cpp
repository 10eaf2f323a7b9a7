// Reserves TCP ports on loopback for a fleet of test processes: binds the given
// COUNT of sockets to port 0, prints one port per line and keeps the sockets
// open until SIGINT or SIGTERM.
//
// The sockets have SO_REUSEADDR and never listen. A process that sets
// SO_REUSEADDR too can therefore listen on a reserved port, also after a
// restart, while the kernel assigns the port neither to an outgoing connection
// nor to another socket that binds port 0.

#include <boost/asio.hpp>
#include <iostream>
#include <string>
#include <vector>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

auto main(int argc, char** argv) -> int {
  if (argc != 2) {
    std::cerr << "usage: reserve_ports COUNT\n";
    return 2;
  }
  asio::io_context context(1);
  std::vector<tcp::acceptor> reserved;
  const auto port_count = std::stoul(argv[1]);
  const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
  for (std::size_t i = 0; i < port_count; ++i) {
    auto& acceptor = reserved.emplace_back(context, tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(any_port);
    std::cout << acceptor.local_endpoint().port() << '\n';
  }
  std::cout.flush();
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([](boost::system::error_code, int) {});
  context.run();
  return 0;
}
