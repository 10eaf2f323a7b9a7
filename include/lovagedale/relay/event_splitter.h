#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// Largest event of a stream. Events carry a few tokens, at most a whole
/// answer.
inline constexpr std::size_t kMaxEventBytes = 1UL << 20U;

/// Splits an event stream into complete events, so that a stream that breaks
/// off within an event can resume at another server after the last complete
/// one.
class event_splitter {
 public:
  /// Adds bytes of the stream and returns the events that they complete. Events
  /// with a number up to last_event() are dropped as duplicates. The view is
  /// valid until the next call.
  auto Feed(std::string_view bytes) -> std::string_view;
  /// Whether the bytes fed since RequireFields hold something that is no event.
  auto HasMalformedEvent() const -> bool { return is_malformed_; }
  /// From now on an event must satisfy HasOnlyFields. It is dropped with all
  /// that follows if it does not.
  auto RequireFields() -> void { requires_fields_ = true; }
  /// Whether the bytes so far end within an event.
  auto HasPartialEvent() const -> bool { return !partial_.empty(); }
  /// Bytes of the event that is incomplete so far.
  auto partial_bytes() const -> std::size_t { return partial_.size(); }
  /// Complete events so far, including duplicates.
  auto event_count() const -> std::size_t { return event_count_; }
  /// Number of the last complete event that had one.
  auto last_event() const -> std::optional<std::uint64_t> {
    return last_event_;
  }
  /// Discards a partial event before the stream is resumed after the last
  /// complete one.
  auto Restart() -> void {
    partial_.clear();
    line_start_ = 0;
    searched_bytes_ = 0;
    is_malformed_ = false;
  }

 private:
  auto AppendEvent(std::string_view event) -> void;

  std::string partial_;
  // Positions in partial_, kept so that each byte is searched once.
  std::size_t line_start_ = 0;
  std::size_t searched_bytes_ = 0;
  std::string complete_;
  bool requires_fields_ = false;
  bool is_malformed_ = false;
  std::size_t event_count_ = 0;
  std::optional<std::uint64_t> last_event_;
};

/// Whether each line is a comment or a field whose name has only lower-case
/// letters, digits and hyphens.
auto HasOnlyFields(std::string_view event) -> bool;

/// The number in the `id` field of an event; nothing if it has none.
auto EventNumber(std::string_view event) -> std::optional<std::uint64_t>;

}  // namespace lovagedale
