// Prints the numbers of free TCP ports, one a line: free_ports COUNT. They are
// free at every loopback address at the time of the call.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <iostream>
#include <vector>

auto main(int argc, char** argv) -> int {
  using boost::asio::ip::tcp;
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  boost::asio::io_context context;
  // All are held until the end, so that no port is printed twice.
  std::vector<tcp::acceptor> acceptors;
  for (int i = 0; i < count; ++i) {
    acceptors.emplace_back(context, tcp::endpoint(tcp::v4(), 0));
    std::cout << acceptors.back().local_endpoint().port() << "\n";
  }
  return 0;
}
