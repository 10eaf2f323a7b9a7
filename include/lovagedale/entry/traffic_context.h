#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "lovagedale/admission/token_bucket.h"
#include "lovagedale/entry/bill_writer.h"
#include "lovagedale/entry/entry_state.h"
#include "lovagedale/entry/ledger_client.h"
#include "lovagedale/entry/upstream_pool.h"
#include "lovagedale/placement/prefix_index.h"

namespace lovagedale {

/// State of one traffic thread. Only `state` and `metrics` are shared with
/// other threads.
struct traffic_context {
  traffic_context(entry_state& shared, std::size_t thread_index,
                  std::uint64_t seed);

  auto NextRandom() -> std::uint64_t { return random(); }
  /// Returns a request id that is unique in the fleet.
  auto NewRequestId() -> std::string;
  /// Fills in this entry's name and the current time, and waits for at most 1 s
  /// until the bill is stored. A bill that is not stored by then is resent in
  /// the background. To be called before the end of the answer is sent.
  auto StoreBill(bill_record bill, boost::asio::yield_context yield) -> void;
  /// The plan for a customer and task class, cached until the evidence or the
  /// configuration changes.
  auto PlanFor(const std::string& customer_name, const std::string& task_class)
      -> const named_plan&;

  entry_state& state;
  boost::asio::io_context io{1};
  std::shared_ptr<thread_metrics> metrics;
  ledger_client ledgers;
  bill_writer bills;
  upstream_pool upstreams;
  prefix_index prefixes;
  retry_token_bucket retries;
  system_monotonic_clock clock;
  token_bucket rating_quota;
  std::mt19937_64 random;

 private:
  std::string id_prefix_;
  std::uint64_t next_id_ = 0;
  std::shared_ptr<const plan_table> plan_table_;
  std::unordered_map<std::string, named_plan> cached_plans_;
};

}  // namespace lovagedale
