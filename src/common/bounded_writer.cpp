#include "lovagedale/common/bounded_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace lovagedale {
namespace {

/// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
constexpr std::size_t kMaxWriteBytes = 4'096;
constexpr int kPollTimeoutMs = 50;
/// Time that a stalled reader gets at shutdown to take the queued lines.
constexpr std::chrono::milliseconds kFinalWriteTimeout{200};

}  // namespace

bounded_writer::bounded_writer(int fd, std::size_t max_queued_bytes)
    : fd_(fd),
      max_queued_bytes_(max_queued_bytes),
      thread_([this] { Run(); }) {}

bounded_writer::~bounded_writer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

auto bounded_writer::Write(std::string line) -> bool {
  {
    const std::lock_guard lock(mutex_);
    if (queued_bytes_ + line.size() > max_queued_bytes_) {
      ++dropped_;
      return false;
    }
    queued_bytes_ += line.size();
    queue_.push_back(std::move(line));
    if (queue_.size() > 1) return true;  // Already notified.
  }
  wake_.notify_one();
  return true;
}

auto bounded_writer::dropped() const -> std::uint64_t {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

auto bounded_writer::IsStopping() const -> bool {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

auto bounded_writer::WriteAll(const std::string& bytes) -> bool {
  std::size_t written = 0;
  std::chrono::steady_clock::time_point final_deadline{};
  while (written < bytes.size()) {
    pollfd poller{fd_, POLLOUT, 0};
    const int ready = ::poll(&poller, 1, kPollTimeoutMs);
    if (ready <= 0) {
      if (!IsStopping()) continue;
      const auto now = std::chrono::steady_clock::now();
      if (final_deadline == std::chrono::steady_clock::time_point{}) {
        final_deadline = now + kFinalWriteTimeout;
      }
      if (now >= final_deadline) return false;
      continue;
    }
    const auto size = std::min(kMaxWriteBytes, bytes.size() - written);
    const auto result = ::write(fd_, bytes.data() + written, size);
    if (result > 0) {
      written += static_cast<std::size_t>(result);
    } else if (errno != EINTR && errno != EAGAIN) {
      return false;  // For example EPIPE: the reader is closed.
    }
  }
  return true;
}

auto bounded_writer::Run() -> void {
  for (;;) {
    std::string bytes;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) return;
      for (const auto& line : queue_) bytes += line;
      queue_.clear();
      queued_bytes_ = 0;
      if (dropped_ != reported_dropped_) {
        bytes += "log_lines_dropped count=" +
                 std::to_string(dropped_ - reported_dropped_) + "\n";
        reported_dropped_ = dropped_;
      }
    }
    if (!WriteAll(bytes) && IsStopping()) return;
  }
}

}  // namespace lovagedale
