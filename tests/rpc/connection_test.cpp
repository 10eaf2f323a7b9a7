#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <list>

#include "lovagedale/rpc/frame.h"
#include "lovagedale/rpc/server.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

auto ResidentBytes() -> std::size_t {
  std::ifstream in("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  in >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace

// Guards against a peer whose frames announce bodies that never come: each made
// the process fill 64 MB of memory, and three exceed an entry's host.
TEST_CASE("a frame takes memory for what has arrived, not what it announces") {
  constexpr int kConnections = 4;
  asio::io_context context(1);
  rpc_server server(context, "127.0.0.1", 0,
                    [](const std::string&, const rpc_reply&) {});
  const auto header =
      EncodeFrameHeader({kMaxFrameBytes, 1, frame_kind::kRequest, {}});
  const auto before = ResidentBytes();
  std::list<asio::ip::tcp::socket> peers;
  for (int i = 0; i < kConnections; ++i) {
    auto& peer = peers.emplace_back(context);
    peer.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(peer, asio::buffer(header));
  }
  context.run_for(milliseconds(300));
  CHECK(ResidentBytes() < before + kMaxFrameBytes);
}

TEST_CASE("a body of several reads arrives whole") {
  asio::io_context context(1);
  std::string received;
  rpc_server server(context, "127.0.0.1", 0,
                    [&](const std::string& body, const rpc_reply&) {
                      received = body;
                      context.stop();
                    });
  std::string body;
  for (int i = 0; i < 1'000'000; ++i) body += static_cast<char>('a' + i % 23);
  asio::ip::tcp::socket peer(context);
  peer.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  const auto frame = EncodeFrame(1, frame_kind::kRequest, body);
  asio::async_write(peer, asio::buffer(frame),
                    [](boost::system::error_code, std::size_t) {});
  context.run_for(std::chrono::seconds(20));
  CHECK(received == body);
}

}  // namespace lovagedale
