#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace lovagedale {

/// Writes lines to a file descriptor on a background thread, so that a slow or
/// disconnected reader never blocks a caller. Lines that exceed the queue's
/// limit are dropped and counted; the count is written with the next batch.
class bounded_writer {
 public:
  /// Holds at most `max_queued_bytes`. `fd` is not closed.
  bounded_writer(int fd, std::size_t max_queued_bytes);
  /// Writes the queued lines; gives up kFinalWriteTimeout after the reader
  /// first stalls.
  ~bounded_writer();
  bounded_writer(const bounded_writer&) = delete;
  auto operator=(const bounded_writer&) -> bounded_writer& = delete;

  /// Queues one line, which must end in a line feed; false if it was dropped.
  auto Write(std::string line) -> bool;
  /// Number of lines dropped so far.
  auto dropped() const -> std::uint64_t;

 private:
  auto Run() -> void;
  /// Writes `bytes`. Returns false if the descriptor failed or the reader
  /// stalled during shutdown.
  auto WriteAll(const std::string& bytes) -> bool;
  auto IsStopping() const -> bool;

  int fd_;
  std::size_t max_queued_bytes_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace lovagedale
