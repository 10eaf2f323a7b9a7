#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagedale {

/// Splits a stream into whole events, so that only whole ones reach the
/// caller and a resumed stream continues at an event's boundary.
class event_relay {
 public:
  /// Takes bytes as they were read. Returns the whole events that are now
  /// ready, without the final `[DONE]`; valid until the next call.
  auto Feed(std::string_view bytes) -> std::string_view;
  /// Whether the stream's final event was seen.
  auto IsDone() const -> bool { return done_; }
  /// Forgets an incomplete event, before a stream is resumed.
  auto DropIncomplete() -> void { pending_.clear(); }
  auto events() const -> std::uint64_t { return events_; }

 private:
  std::string pending_;
  std::string ready_;
  std::uint64_t events_ = 0;
  bool done_ = false;
};

}  // namespace lovagedale
