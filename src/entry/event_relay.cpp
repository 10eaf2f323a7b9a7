#include "lovagedale/entry/event_relay.h"

namespace lovagedale {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDoneEvent = "data: [DONE]";

}  // namespace

auto event_relay::Feed(std::string_view bytes) -> std::string_view {
  // Both buffers keep their capacity: no allocation per event once they have
  // grown to the size of one read.
  // Bytes that were searched before contain no end of an event, but they may
  // contain its first byte.
  auto search_from = pending_.empty() ? 0 : pending_.size() - 1;
  pending_.append(bytes);
  ready_.clear();
  std::size_t start = 0;
  for (;;) {
    const auto end = pending_.find(kEventEnd, search_from);
    if (end == std::string::npos) break;
    const std::string_view event(pending_.data() + start,
                                 end - start + kEventEnd.size());
    start = end + kEventEnd.size();
    search_from = start;
    if (event.starts_with(kDoneEvent)) {
      done_ = true;
      continue;
    }
    ready_ += event;
    ++event_count_;
  }
  pending_.erase(0, start);
  return ready_;
}

}  // namespace lovagedale
