#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/common/format.h"

namespace lovagedale {

/// The format of each process's build, from its last message. Pure.
class format_census {
 public:
  auto Report(const std::string& process, format_number format) -> void {
    formats_[process] = format;
  }
  /// Nothing if the process has sent no message yet.
  auto FormatOf(const std::string& process) const
      -> std::optional<format_number> {
    const auto found = formats_.find(process);
    if (found == formats_.end()) return std::nullopt;
    return found->second;
  }
  /// Whether each of `processes` is known to read `format`.
  auto AllRead(format_number format,
               const std::vector<std::string>& processes) const -> bool {
    return std::all_of(
        processes.begin(), processes.end(), [&](const std::string& process) {
          return FormatOf(process).value_or(kFirstFormat) >= format;
        });
  }

 private:
  std::map<std::string, format_number> formats_;
};

}  // namespace lovagedale
