#include "lovagedale/replication/segment_files.h"

#include <algorithm>
#include <charconv>
#include <filesystem>

namespace lovagedale {
namespace {

constexpr std::size_t kSegmentDigits = 12;

}  // namespace

auto SegmentPath(const std::string& folder, std::string_view prefix,
                 std::uint64_t number) -> std::string {
  auto digits = std::to_string(number);
  digits.insert(0, kSegmentDigits - std::min(kSegmentDigits, digits.size()),
                '0');
  return folder + "/" + std::string(prefix) + "-" + digits;
}

auto ListSegments(const std::string& folder, std::string_view prefix)
    -> std::vector<std::uint64_t> {
  const auto start = std::string(prefix) + "-";
  std::vector<std::uint64_t> numbers;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const auto name = file.path().filename().string();
    if (!name.starts_with(start)) continue;
    std::uint64_t number = 0;
    std::from_chars(name.data() + start.size(), name.data() + name.size(),
                    number);
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace lovagedale
