#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/discovery/server_list.h"
#include "lovagedale/forwarding/path_choice.h"

namespace lovagedale {

/// Another entry that takes calls of this one, and its state here.
struct helper_record {
  /// Where it listens, in the form that the connection pool takes. Its id is
  /// the address.
  listed_server listed;
  std::uint32_t in_flight = 0;
  monotonic_ms unreached_until_ms = 0;
  std::map<std::string, monotonic_ms> refusing_until_ms;  ///< by service
};

using helper_handle = std::shared_ptr<helper_record>;

/// The entries through which this entry can reach servers. Not thread-safe.
class helper_pool {
 public:
  /// Replaces the helpers. Keeps the records of those that stay. Skips what is
  /// not of the form IP:PORT.
  auto Set(const std::vector<std::string>& addresses) -> void;
  /// For a call of the service.
  auto Candidates(const std::string& service, monotonic_ms now) const
      -> std::vector<helper_candidate>;
  auto At(std::size_t index) const -> const helper_handle& {
    return helpers_[index];
  }
  static auto RecordUnreached(helper_record& helper, monotonic_ms now) -> void {
    helper.unreached_until_ms = now + kAvoidMs;
  }
  /// The helper cannot serve calls of the service either.
  static auto RecordRefusal(helper_record& helper, const std::string& service,
                            monotonic_ms now) -> void {
    helper.refusing_until_ms[service] = now + kAvoidMs;
  }

 private:
  /// Control has told of a helper that is cut off by then.
  static constexpr monotonic_ms kAvoidMs = 1'000;

  std::vector<helper_handle> helpers_;
};

}  // namespace lovagedale
