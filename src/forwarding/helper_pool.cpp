#include "lovagedale/forwarding/helper_pool.h"

#include <algorithm>
#include <utility>

#include "lovagedale/common/log.h"
#include "lovagedale/common/settings_fields.h"

namespace lovagedale {

auto helper_pool::Set(const std::vector<std::string>& addresses) -> void {
  std::vector<helper_handle> next;
  for (const auto& address : addresses) {
    const auto known = std::find_if(
        helpers_.begin(), helpers_.end(),
        [&](const auto& helper) { return helper->listed.id == address; });
    if (known != helpers_.end()) {
      next.push_back(*known);
      continue;
    }
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      log_line(log_level::kWarning, "helper_skipped").With("address", address);
      continue;
    }
    auto helper = std::make_shared<helper_record>();
    helper->listed.id = address;
    helper->listed.host = endpoint->host;
    helper->listed.port = endpoint->port;
    next.push_back(std::move(helper));
  }
  helpers_ = std::move(next);
}

auto helper_pool::Candidates(const std::string& service, monotonic_ms now) const
    -> std::vector<helper_candidate> {
  std::vector<helper_candidate> candidates;
  for (const auto& helper : helpers_) {
    const auto refusing = helper->refusing_until_ms.find(service);
    const bool is_refusing =
        refusing != helper->refusing_until_ms.end() && now < refusing->second;
    candidates.push_back(
        {helper->in_flight, is_refusing || now < helper->unreached_until_ms});
  }
  return candidates;
}

}  // namespace lovagedale
