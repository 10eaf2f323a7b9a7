#include "lovagedale/forwarding/path_choice.h"

#include "lovagedale/common/hash.h"

namespace lovagedale {

auto ChoosePath(const path_input& input) -> path_choice {
  if (input.available_servers == 0 || input.reachable_servers > 0) {
    return {call_path::kDirect};
  }
  if (input.is_forwarded || input.forwards >= kMaxForwards) {
    return {call_path::kNone};
  }
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < input.helpers.size(); ++i) {
    if (!input.helpers[i].is_avoided) usable.push_back(i);
  }
  if (usable.empty()) return {call_path::kNone};
  const auto first = usable[input.random % usable.size()];
  const auto second = usable[MixBits(input.random) % usable.size()];
  const bool is_second_less_busy =
      input.helpers[second].in_flight < input.helpers[first].in_flight;
  return {call_path::kThroughEntry, is_second_less_busy ? second : first};
}

}  // namespace lovagedale
