#include "lovagedale/common/memory_archive.h"

namespace lovagedale {

memory_input_archive::memory_input_archive(std::string_view bytes)
    : cereal::InputArchive<memory_input_archive,
                           cereal::AllowEmptyClassElision>(this),
      rest_(bytes) {
  std::uint8_t mark = 0;
  Read(&mark, sizeof(mark));
  if (mark != kLittleEndianMark) {
    throw cereal::Exception("the numbers are not little-endian");
  }
}

auto memory_input_archive::CheckLength(std::uint64_t bytes) const -> void {
  if (bytes <= rest_.size()) return;
  throw cereal::Exception(std::to_string(bytes) +
                          " bytes or elements are announced, " +
                          std::to_string(rest_.size()) + " bytes are left");
}

}  // namespace lovagedale
