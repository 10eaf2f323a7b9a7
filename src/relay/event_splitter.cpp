#include "lovagedale/relay/event_splitter.h"

#include <charconv>

namespace lovagedale {
namespace {

/// Position after the blank line that ends the first event; npos if the event
/// is incomplete.
auto EventEnd(std::string_view text) -> std::size_t {
  auto line_start = std::size_t{0};
  for (;;) {
    const auto newline = text.find('\n', line_start);
    if (newline == std::string_view::npos) return newline;
    const auto line = text.substr(line_start, newline - line_start);
    const bool is_blank = line.empty() || line == "\r";
    if (is_blank && newline > 0) return newline + 1;
    line_start = newline + 1;
  }
}

}  // namespace

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

auto event_splitter::AppendEvent(std::string_view event) -> void {
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
  std::size_t consumed = 0;
  for (;;) {
    const auto text = std::string_view(partial_).substr(consumed);
    const auto end = EventEnd(text);
    if (end == std::string_view::npos) break;
    AppendEvent(text.substr(0, end));
    consumed += end;
  }
  partial_.erase(0, consumed);
  return complete_;
}

}  // namespace lovagedale
