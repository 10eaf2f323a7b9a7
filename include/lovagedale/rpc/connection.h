#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lovagedale/rpc/frame.h"

namespace lovagedale {

/// Sets TCP_NODELAY, keepalive and TCP_USER_TIMEOUT, so that a connection
/// whose peer no longer acknowledges data fails after `ack_timeout_ms`. That
/// time also decides when keepalive probes give up; their count has no effect
/// then.
auto ConfigureSocket(boost::asio::ip::tcp::socket& socket, int ack_timeout_ms)
    -> void;

/// A framed TCP connection used by one thread. Frames queued while a write is
/// in progress are sent together in the next write.
class frame_connection : public std::enable_shared_from_this<frame_connection> {
 public:
  using frame_handler = std::function<void(const frame_header&, std::string)>;
  using close_handler = std::function<void()>;

  explicit frame_connection(boost::asio::ip::tcp::socket socket);

  /// Reads frames until the connection closes, then calls `on_close` once.
  auto Start(frame_handler on_frame, close_handler on_close) -> void;
  /// Queues a frame; see EncodeFrame. Closes the connection if the peer reads
  /// so slowly that more than kMaxFrameBytes would be queued.
  auto Send(std::uint64_t call_id, frame_kind kind, const std::string& body,
            bool of_first_format = false) -> void;
  auto Close() -> void;
  auto IsOpen() const -> bool { return open_; }
  /// When bytes last arrived, also of an incomplete frame; at first, when this
  /// object was made.
  auto last_received() const -> std::chrono::steady_clock::time_point {
    return last_received_;
  }

 private:
  /// Reads until `buffer` is full; false if the connection ended first.
  auto ReadFully(boost::asio::mutable_buffer buffer,
                 boost::asio::yield_context yield) -> bool;
  /// Reads a body of `bytes`; false if the connection ended first.
  auto ReadBody(std::size_t bytes, std::string& body,
                boost::asio::yield_context yield) -> bool;
  auto ReadLoop(boost::asio::yield_context yield) -> void;
  auto WriteQueued() -> void;

  boost::asio::ip::tcp::socket socket_;
  frame_handler on_frame_;
  close_handler on_close_;
  std::string queued_;
  std::string writing_;
  bool write_active_ = false;
  bool open_ = true;
  std::chrono::steady_clock::time_point last_received_ =
      std::chrono::steady_clock::now();
};

}  // namespace lovagedale
