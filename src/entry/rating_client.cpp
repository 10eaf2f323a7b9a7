#include "lovagedale/entry/rating_client.h"

#include <algorithm>
#include <boost/json.hpp>

#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/http/client.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr http_deadlines kDeadlines{milliseconds(300), milliseconds(5'000),
                                    milliseconds(5'000), milliseconds(5'000)};
constexpr double kBurstSeconds = 2;

auto MakeRequest(const rating_request& item) -> http_request {
  http_request request;
  request.method = "POST";
  request.target = "/v1/ratings";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = json::serialize(json::value{{"request_id", item.request_id},
                                             {"customer", item.customer},
                                             {"task_class", item.task_class},
                                             {"version", item.version},
                                             {"prompt", item.prompt},
                                             {"answer", item.answer}});
  return request;
}

}  // namespace

auto rating_client::Rate(const rating_service& service,
                         const rating_request& item, asio::yield_context yield)
    -> std::optional<double> {
  try {
    const auto reply = HttpCall(context_.io, service.host, service.port,
                                MakeRequest(item), kDeadlines, yield);
    const auto score = json::parse(reply.body).at("score").to_number<double>();
    context_.state.evidence.Add(item.key, {.ratings = 1,
                                           .rating_sum = score,
                                           .rating_square_sum = score * score});
    context_.metrics->Count(entry_counter::kRatings);
    return score;
  } catch (const std::exception& error) {
    log_line(log_level::kDebug, "rating_failed").With("reason", error.what());
    return std::nullopt;
  }
}

auto rating_client::RateInBackground(const rating_service& service,
                                     rating_request item) -> void {
  if (!TryAcquireQuota(service)) return;
  SpawnTask(context_.io,
            [this, service, item = std::move(item)](asio::yield_context yield) {
              Rate(service, item, yield);
            });
}

auto rating_client::TryAcquireQuota(const rating_service& service) -> bool {
  const auto now = context_.clock.Now();
  const auto threads_in_fleet = static_cast<double>(
      std::max<std::uint32_t>(context_.state.live_entries, 1) *
      context_.state.settings.traffic_threads);
  const auto rate = service.ratings_per_s / threads_in_fleet;
  context_.rating_quota.SetLimit(rate, std::max(1.0, rate * kBurstSeconds),
                                 now);
  return context_.rating_quota.TryTake(now);
}

}  // namespace lovagedale
