#include "lovagedale/common/bounded_writer.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <chrono>
#include <string>

namespace lovagedale::testing {
namespace {

class pipe_pair {
 public:
  pipe_pair() { REQUIRE(::pipe(ends_) == 0); }
  ~pipe_pair() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  pipe_pair(const pipe_pair&) = delete;
  auto operator=(const pipe_pair&) -> pipe_pair& = delete;

  auto write_end() const -> int { return ends_[1]; }
  auto Read(std::size_t bytes) const -> std::string {
    std::string text;
    char buffer[4'096];
    while (text.size() < bytes) {
      const auto read_bytes = ::read(ends_[0], buffer, sizeof(buffer));
      if (read_bytes <= 0) break;
      text.append(buffer, static_cast<std::size_t>(read_bytes));
    }
    return text;
  }

 private:
  int ends_[2] = {};
};

}  // namespace

TEST_CASE("lines are written completely and in order") {
  const pipe_pair pipe;
  std::string expected;
  {
    bounded_writer writer(pipe.write_end(), 1U << 20U);
    for (int i = 0; i < 200; ++i) {
      const auto line = "line " + std::to_string(i) + "\n";
      expected += line;
      CHECK(writer.Write(line));
    }
    CHECK(pipe.Read(expected.size()) == expected);
  }
}

// A reader that stops reading its pipe must not block callers, and each line
// that is lost must be counted.
TEST_CASE("a stalled reader does not block callers") {
  const pipe_pair pipe;
  constexpr std::size_t kLineBytes = 100;
  constexpr std::size_t kMaxQueuedBytes = 50'000;
  constexpr int kLineCount = 20'000;
  bounded_writer writer(pipe.write_end(), kMaxQueuedBytes);
  std::uint64_t refused = 0;
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < kLineCount; ++i) {
    if (!writer.Write(std::string(kLineBytes - 1, 'x') + "\n")) ++refused;
  }
  const auto elapsed = std::chrono::steady_clock::now() - started;
  CHECK(writer.dropped() == refused);
  // At most the pipe's buffer, the batch being written and the queue survive.
  CHECK(refused * kLineBytes >
        kLineCount * kLineBytes - 65'536 - 2 * kMaxQueuedBytes - kLineBytes);
  // 0.01 ms per line.
  CHECK(elapsed < std::chrono::milliseconds(kLineCount / 100));
  // When reading resumes, the number of dropped lines is reported.
  const auto text =
      pipe.Read((kLineCount - refused) * kLineBytes + kLineBytes / 4);
  CHECK(text.find("log_lines_dropped count=") != std::string::npos);
}

TEST_CASE("the writer shuts down although nobody reads its output") {
  const pipe_pair pipe;
  const auto started = std::chrono::steady_clock::now();
  {
    bounded_writer writer(pipe.write_end(), 1U << 20U);
    for (int i = 0; i < 5'000; ++i) writer.Write(std::string(100, 'x') + "\n");
  }
  CHECK(std::chrono::steady_clock::now() - started <
        std::chrono::milliseconds(1'000));
}

}  // namespace lovagedale::testing
