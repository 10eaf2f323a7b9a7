#include "lovagedale/admission/rejection_guard.h"

#include <charconv>

namespace lovagedale {

auto ParseMaxRejections(std::string_view text) -> std::optional<std::uint32_t> {
  std::uint32_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size() ||
      number == 0) {
    return std::nullopt;
  }
  return number;
}

}  // namespace lovagedale
