#include "lovagedale/entry/refusal.h"

#include <boost/json.hpp>

namespace lovagedale {

auto RequireCustomer(const catalog& config, const std::string& name,
                     ran_state ran) -> const customer& {
  const auto id = config.FindCustomer(name);
  if (!id) {
    throw request_refused(403, "not_allowed", "the customer was removed", ran);
  }
  return config.customers[*id];
}

auto RefusalJson(const request_refused& refusal, const std::string& request_id)
    -> std::string {
  return boost::json::serialize(boost::json::value{
      {"error",
       {{"type", refusal.type()},
        {"message", refusal.what()},
        {"request_id", request_id},
        {"ran", refusal.ran() == ran_state::kNo ? "no" : "maybe"}}}});
}

auto RespondRefusal(http_exchange& exchange, const request_refused& refusal,
                    const std::string& request_id) -> void {
  header_list headers = {
      {"Lovagedale-Ran", refusal.ran() == ran_state::kNo ? "no" : "maybe"},
      {"Lovagedale-Request-Id", request_id}};
  if (refusal.retry_after_s() > 0) {
    headers.emplace_back("Retry-After",
                         std::to_string(refusal.retry_after_s()));
  }
  exchange.RespondJson(refusal.status(), RefusalJson(refusal, request_id),
                       headers);
}

}  // namespace lovagedale
