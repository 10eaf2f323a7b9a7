#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace lovagedale {

/// Writes lines to a file descriptor on a thread of its own. A reader that is
/// slow or gone never blocks a caller: lines beyond the queue's bound are
/// dropped and counted, and the count is written when there is room again.
class bounded_writer {
 public:
  /// Holds at most `max_queued_bytes`. `fd` is not closed.
  bounded_writer(int fd, std::size_t max_queued_bytes);
  /// Writes for up to kFinalWriteTimeout what is queued.
  ~bounded_writer();
  bounded_writer(const bounded_writer&) = delete;
  auto operator=(const bounded_writer&) -> bounded_writer& = delete;

  /// Takes a whole line with its line feed; false if it was dropped.
  auto Write(std::string line) -> bool;
  /// Lines that were dropped so far.
  auto dropped() const -> std::uint64_t;

 private:
  auto Run() -> void;
  /// Writes until the reader stops taking bytes; false if it did.
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
