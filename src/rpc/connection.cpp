#include "lovagedale/rpc/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace lovagedale {
namespace {

namespace asio = boost::asio;

constexpr int kKeepaliveIdleSeconds = 5;
constexpr int kKeepaliveIntervalSeconds = 2;
/// A body takes memory in steps of this size, as it arrives.
constexpr std::size_t kBodyReadBytes = 64UL << 10U;

auto SetTcpOption(int fd, int option, int value) -> void {
  // A failure is ignored: without the option, call timeouts still apply.
  (void)::setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

}  // namespace

auto ConfigureSocket(asio::ip::tcp::socket& socket, int ack_timeout_ms)
    -> void {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int fd = socket.native_handle();
  SetTcpOption(fd, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetTcpOption(fd, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetTcpOption(fd, TCP_USER_TIMEOUT, ack_timeout_ms);
}

frame_connection::frame_connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {}

auto frame_connection::Start(frame_handler on_frame, close_handler on_close)
    -> void {
  on_frame_ = std::move(on_frame);
  on_close_ = std::move(on_close);
  asio::spawn(
      socket_.get_executor(),
      [self = shared_from_this()](asio::yield_context yield) {
        self->ReadLoop(yield);
        self->Close();
        auto on_close = std::move(self->on_close_);
        self->on_close_ = nullptr;
        self->on_frame_ = nullptr;
        if (on_close) on_close();
      },
      asio::detached);
}

auto frame_connection::ReadFully(asio::mutable_buffer buffer,
                                 asio::yield_context yield) -> bool {
  boost::system::error_code error;
  while (buffer.size() > 0) {
    buffer += socket_.async_read_some(buffer, yield[error]);
    if (error) return false;
    last_received_ = std::chrono::steady_clock::now();
  }
  return true;
}

auto frame_connection::ReadBody(std::size_t bytes, std::string& body,
                                asio::yield_context yield) -> bool {
  while (body.size() < bytes) {
    const auto begin = body.size();
    body.resize(std::min(bytes, begin + kBodyReadBytes));
    if (!ReadFully(asio::buffer(body) + begin, yield)) return false;
  }
  return true;
}

auto frame_connection::ReadLoop(asio::yield_context yield) -> void {
  while (open_) {
    std::array<char, kFrameHeaderBytes> bytes{};
    if (!ReadFully(asio::buffer(bytes), yield)) return;
    const auto header = DecodeFrameHeader(bytes);
    if (!header) return;
    std::string body;
    if (!ReadBody(header->body_bytes, body, yield)) return;
    if (on_frame_) on_frame_(*header, RestoreBody(*header, std::move(body)));
  }
}

auto frame_connection::Send(std::uint64_t call_id, frame_kind kind,
                            const std::string& body, bool of_first_format)
    -> void {
  if (!open_) return;
  if (queued_.size() + body.size() > kMaxFrameBytes) {
    Close();
    return;
  }
  queued_ += EncodeFrame(call_id, kind, body, of_first_format);
  if (!write_active_) WriteQueued();
}

auto frame_connection::WriteQueued() -> void {
  write_active_ = true;
  writing_.clear();
  writing_.swap(queued_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](boost::system::error_code error,
                                                std::size_t) {
                      self->write_active_ = false;
                      if (error) {
                        self->Close();
                        return;
                      }
                      if (!self->queued_.empty()) self->WriteQueued();
                    });
}

auto frame_connection::Close() -> void {
  if (!open_) return;
  open_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace lovagedale
