#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace lovagedale::testing {

/// A port whose listener accepts nothing and has a full queue: connections to
/// it are neither made nor refused.
class silent_port {
 public:
  silent_port() {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen(0);
    auto endpoint = acceptor_.local_endpoint();
    for (auto& socket : fillers_) {
      socket.non_blocking(true);
      // Connects without waiting, unlike socket.connect().
      ::connect(socket.native_handle(), endpoint.data(),
                static_cast<socklen_t>(endpoint.size()));
    }
  }
  auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }

  /// From now on connections are made, a few at least.
  auto Open() -> void {
    boost::system::error_code error;
    acceptor_.non_blocking(true);
    for (;;) {
      boost::asio::ip::tcp::socket accepted(context_);
      acceptor_.accept(accepted, error);
      if (error) break;
    }
    ::listen(acceptor_.native_handle(), kOpenBacklog);
  }

 private:
  static constexpr int kOpenBacklog = 64;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_{context_};
  std::array<boost::asio::ip::tcp::socket, 3> fillers_{
      boost::asio::ip::tcp::socket(context_, boost::asio::ip::tcp::v4()),
      boost::asio::ip::tcp::socket(context_, boost::asio::ip::tcp::v4()),
      boost::asio::ip::tcp::socket(context_, boost::asio::ip::tcp::v4())};
};

}  // namespace lovagedale::testing
