#include "lovagedale/common/codec.h"

namespace lovagedale {

auto FailDecoding(const format_footer& footer, const std::string& reason)
    -> void {
  throw codec_error("message of format " + std::to_string(footer.written) +
                    ", readable from format " +
                    std::to_string(footer.oldest_reader) +
                    " on, does not decode with format " +
                    std::to_string(kFormat) + ": " + reason);
}

}  // namespace lovagedale
