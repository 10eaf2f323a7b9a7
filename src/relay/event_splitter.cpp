#include "lovagedale/relay/event_splitter.h"

#include <charconv>

namespace lovagedale {
auto EventNumber(std::string_view event) -> std::optional<std::uint64_t> {
  std::size_t start = 0;
  while (start < event.size()) {
    auto end = event.find('\n', start);
    if (end == std::string_view::npos) end = event.size();
    auto line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with("id:")) continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::uint64_t number = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (result.ec == std::errc{}) return number;
  }
  return std::nullopt;
}

auto HasOnlyFields(std::string_view event) -> bool {
  constexpr std::string_view kNameCharacters =
      "abcdefghijklmnopqrstuvwxyz0123456789-";
  for (std::size_t start = 0; start < event.size();) {
    auto end = event.find('\n', start);
    if (end == std::string_view::npos) end = event.size();
    const auto line = event.substr(start, end - start);
    start = end + 1;
    if (line.empty() || line == "\r") continue;
    const auto name_end = line.find_first_not_of(kNameCharacters);
    if (name_end == std::string_view::npos || line[name_end] != ':') {
      return false;
    }
  }
  return true;
}

auto event_splitter::AppendEvent(std::string_view event) -> void {
  if (requires_fields_ && (is_malformed_ || !HasOnlyFields(event))) {
    is_malformed_ = true;
    return;
  }
  const auto number = EventNumber(event);
  if (number) {
    // A duplicate from a server that resumed before the last event.
    if (last_event_ && *number <= *last_event_) return;
    last_event_ = number;
  }
  complete_ += event;
}

auto event_splitter::Feed(std::string_view bytes) -> std::string_view {
  complete_.clear();
  partial_ += bytes;
  const std::string_view text(partial_);
  std::size_t event_start = 0;
  for (;;) {
    const auto newline = text.find('\n', searched_bytes_);
    if (newline == std::string_view::npos) break;
    const auto line = text.substr(line_start_, newline - line_start_);
    searched_bytes_ = newline + 1;
    line_start_ = searched_bytes_;
    // A blank line ends an event. One right at the start belongs to it.
    const bool is_blank = line.empty() || line == "\r";
    if (!is_blank || newline == event_start) continue;
    AppendEvent(text.substr(event_start, searched_bytes_ - event_start));
    ++event_count_;
    event_start = searched_bytes_;
  }
  searched_bytes_ = partial_.size() - event_start;
  line_start_ -= event_start;
  partial_.erase(0, event_start);
  return complete_;
}

}  // namespace lovagedale
