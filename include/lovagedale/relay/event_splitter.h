#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// Cuts an event stream into whole events, so that a stream that breaks off in
/// the middle of one can go on at another server after the last whole one.
class event_splitter {
 public:
  /// Adds bytes of the stream; returns the whole events that end in them,
  /// without those up to `after` if they are numbered. The view is valid until
  /// the next call.
  auto Feed(std::string_view bytes) -> std::string_view;
  /// Whether bytes of an event are left that has not ended.
  auto HasPartialEvent() const -> bool { return !partial_.empty(); }
  /// Number of the last whole event that had one.
  auto last_event() const -> std::optional<std::uint64_t> {
    return last_event_;
  }
  /// A new run of the stream begins, which must go on after the last event.
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
