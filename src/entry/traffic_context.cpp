#include "lovagedale/entry/traffic_context.h"

#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"

namespace lovagedale {
namespace {

constexpr std::size_t kMaxPrefixEntries = 200'000;
/// Burst of retries that a thread may send after a sudden failure.
constexpr double kRetryReserve = 20;
constexpr std::size_t kMaxCachedPlans = 10'000;
constexpr std::chrono::milliseconds kBillTimeout{1'000};

}  // namespace

traffic_context::traffic_context(entry_state& shared, std::size_t thread_index,
                                 std::uint64_t seed)
    : state(shared),
      metrics(std::make_shared<thread_metrics>()),
      ledgers(io, shared.settings.ledgers, shared.settings.zone),
      bills(io, shared.settings.ledgers, shared.settings.zone),
      upstreams(io),
      prefixes(kMaxPrefixEntries),
      retries(shared.settings.retry_fraction, kRetryReserve),
      rating_quota(0, 1, clock.Now()),
      random(seed + thread_index),
      id_prefix_(shared.settings.name + "-" + ToHex(seed).substr(0, 8) + "-" +
                 std::to_string(thread_index) + "-") {}

auto traffic_context::NewRequestId() -> std::string {
  return id_prefix_ + std::to_string(next_id_++);
}

auto traffic_context::StoreBill(bill_record bill,
                                boost::asio::yield_context yield) -> void {
  bill.entry = state.settings.name;
  bill.at_ms = WallClockMs();
  const auto started_at = clock.Now();
  const auto durability = bills.Store(bill, kBillTimeout, yield);
  if (durability == bill_durability::kPending) {
    metrics->Count(entry_counter::kBillsDelayed);
    log_line(log_level::kWarning, "bill_delayed")
        .With("request", bill.request_id);
  } else if (durability == bill_durability::kOneDisk) {
    metrics->Count(entry_counter::kBillsOnOneDisk);
  }
  metrics->Observe(entry_latency::kBill,
                   static_cast<double>(clock.Now() - started_at));
}

auto traffic_context::PlanFor(const std::string& customer_name,
                              const std::string& task_class)
    -> const named_plan& {
  auto current = state.plans.load();
  if (current != plan_table_ || cached_plans_.size() > kMaxCachedPlans) {
    cached_plans_.clear();
    plan_table_ = std::move(current);
  }
  auto key = customer_name + '/' + task_class;
  const auto [slot, is_new] = cached_plans_.try_emplace(std::move(key));
  if (is_new) slot->second = plan_table_->PlanFor(customer_name, task_class);
  return slot->second;
}

}  // namespace lovagedale
