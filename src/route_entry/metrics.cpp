#include "lovagedale/route_entry/route_entry.h"

namespace lovagedale {

auto FormatRelayMetrics(const relay_state& state) -> std::string {
  std::string text;
  text += "# TYPE lovagedale_calls_total counter\n";
  for (const auto& [key, count] : state.counts) {
    text += "lovagedale_calls_total{route=\"" + key.route + "\",outcome=\"" +
            key.outcome + "\"} " + std::to_string(count) + "\n";
  }
  text += "# TYPE lovagedale_attempts_total counter\n";
  for (const auto& [result, count] : state.attempts) {
    text += "lovagedale_attempts_total{result=\"" + result + "\"} " +
            std::to_string(count) + "\n";
  }
  text += "# TYPE lovagedale_calls_active gauge\nlovagedale_calls_active " +
          std::to_string(state.active) + "\n";
  text += "# TYPE lovagedale_revision gauge\nlovagedale_revision " +
          std::to_string(state.view ? state.view->revision : 0) + "\n";
  return text;
}

}  // namespace lovagedale
