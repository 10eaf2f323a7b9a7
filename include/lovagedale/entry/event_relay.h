#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagedale {

/// Splits a stream of server-sent events into complete events, so that only
/// complete ones reach the caller and a resumed stream continues at an event
/// boundary.
class event_relay {
 public:
  /// Appends received bytes. Returns the events that they complete, without the
  /// final `[DONE]`; the view is valid until the next call.
  auto Feed(std::string_view bytes) -> std::string_view;
  /// Whether the final `[DONE]` event was received.
  auto IsDone() const -> bool { return done_; }
  /// Bytes of the event that is incomplete so far.
  auto pending_bytes() const -> std::size_t { return pending_.size(); }
  /// Discards an incomplete event before the stream is resumed.
  auto DropIncomplete() -> void { pending_.clear(); }
  /// Number of complete events so far, without `[DONE]`.
  auto event_count() const -> std::uint64_t { return event_count_; }

 private:
  std::string pending_;
  std::string ready_;
  std::uint64_t event_count_ = 0;
  bool done_ = false;
};

}  // namespace lovagedale
