#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// Splits an event stream into complete events, so that a stream that breaks
/// off within an event can resume at another server after the last complete
/// one.
class event_splitter {
 public:
  /// Adds bytes of the stream and returns the events that they complete. Events
  /// with a number up to last_event() are dropped as duplicates. The view is
  /// valid until the next call.
  auto Feed(std::string_view bytes) -> std::string_view;
  /// Whether the bytes so far end within an event.
  auto HasPartialEvent() const -> bool { return !partial_.empty(); }
  /// Number of the last complete event that had one.
  auto last_event() const -> std::optional<std::uint64_t> {
    return last_event_;
  }
  /// Discards a partial event before the stream is resumed after the last
  /// complete one.
  auto Restart() -> void { partial_.clear(); }

 private:
  auto AppendEvent(std::string_view event) -> void;

  std::string partial_;
  std::string complete_;
  std::optional<std::uint64_t> last_event_;
};

/// The number in the `id` field of an event; nothing if it has none.
auto EventNumber(std::string_view event) -> std::optional<std::uint64_t>;

}  // namespace lovagedale
