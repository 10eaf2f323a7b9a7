#pragma once

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "lovagedale/entry/refusal.h"
#include "lovagedale/entry/traffic_context.h"
#include "lovagedale/http/client.h"

namespace lovagedale {

/// A version may no longer run the customer's new requests: it was withdrawn,
/// the entry's permit expired, or the customer may not use it any more. The
/// chat handler then chooses versions again.
class version_unavailable : public std::runtime_error {
 public:
  version_unavailable(const std::string& message, ran_state ran)
      : std::runtime_error(message), ran_(ran) {}
  /// Whether an earlier attempt of the job may have run.
  auto ran() const -> ran_state { return ran_; }

 private:
  ran_state ran_;
};

/// A request for one version or one service, to be run on any of its servers.
struct dispatch_job {
  std::string request_id;
  std::string customer;
  std::string version;  ///< empty for a service
  std::string pool;     ///< of the service; empty for a version
  std::uint64_t fingerprint = 0;
  std::vector<prefix_hash> prefixes;
  bool repeatable = true;
  patience_class patience = patience_class::kInteractive;
  std::string version_reason;  ///< why this version was chosen, for the log
  std::vector<std::string> alternatives;
  /// Builds the request to send; called once per attempt, so that a resumed
  /// stream can include the text that was already delivered.
  std::function<http_request()> make_request;
  /// Called for each attempt that failed after the request was sent.
  std::function<void()> on_failure;
};

struct dispatch_result {
  std::string server;
  std::uint32_t attempts = 0;
};

/// Reads the complete answer. Throws http_call_error if the answer is
/// incomplete or a server error.
using answer_reader =
    std::function<void(http_connection&, const http_response_head&)>;

/// Sends requests to backend servers: chooses the server, checks immediately
/// before the first byte that the request may still run there, retries
/// repeatable requests within the retry budget, and reports the requests that
/// were running on a server when it crashed. Used by one traffic thread.
class dispatcher {
 public:
  explicit dispatcher(traffic_context& context) : context_(context) {}

  /// Runs the job. Throws request_refused, version_unavailable,
  /// caller_disconnected_error.
  auto Run(const dispatch_job& job, const answer_reader& read_answer,
           boost::asio::yield_context yield) -> dispatch_result;

 private:
  class running_guard;
  struct job_state {
    /// Servers that failed or refused the request, by name. Cleared when the
    /// request has to queue, since no other server can take it.
    std::vector<std::string> excluded_servers;
    std::uint32_t attempts = 0;
    std::uint32_t connect_failures = 0;
    /// Failures after the request was sent, except timeouts.
    std::uint32_t failures_after_send = 0;
    /// Whether the request was a suspect when it was last dispatched. A crash
    /// marks all requests running on the server as suspects, some before they
    /// have failed themselves.
    bool was_suspect = false;
    /// Whether a server may have received the request in any attempt.
    bool was_sent = false;
    monotonic_ms queued_since = -1;
    /// Servers that have counted the next attempt as demand.
    std::set<const server_state*> demand_counted_at;
  };
  /// A server chosen for one attempt, and the routing table it belongs to.
  struct placed_attempt {
    std::shared_ptr<const routing_table> table;
    placement_choice choice;
    const backend_server* server = nullptr;
  };

  /// Throws request_refused or version_unavailable, with `ran`, unless the job
  /// may run by `table`.
  auto EnsureAllowed(const dispatch_job& job, const routing_table& table,
                     ran_state ran) const -> void;
  /// Waits in the entry's queue until a server has capacity. Throws
  /// request_refused (503) at the queue's time limit.
  auto Place(const dispatch_job& job, job_state& state,
             boost::asio::yield_context yield) -> placed_attempt;
  auto TryPlace(const dispatch_job& job, job_state& state)
      -> std::optional<placed_attempt>;
  /// Chooses a server whose limit allows the request; adds the others to
  /// `excluded`. Throws request_refused if only limits prevent it.
  auto ChooseWithinLimits(const dispatch_job& job, const placement_group& group,
                          placement_request request,
                          std::vector<server_id>& excluded, job_state& state)
      -> std::optional<placement_choice>;
  auto RecordLimit(const placed_attempt& placed, const http_response_head& head,
                   monotonic_ms sent_at) -> void;
  /// Returns false if the request was not run: the server is leaving or refused
  /// it. Throws http_call_error if the attempt failed.
  auto TryOnce(const dispatch_job& job, const placed_attempt& placed,
               job_state& state, const answer_reader& read_answer,
               boost::asio::yield_context yield) -> bool;
  auto HandleFailure(const dispatch_job& job, const placed_attempt& placed,
                     job_state& state, const http_call_error& error,
                     boost::asio::yield_context yield) -> void;
  auto MarkUnreachable(const placed_attempt& placed) -> void;
  auto HasCrashed(const backend_server& server,
                  boost::asio::yield_context yield) -> bool;
  auto HandleCrash(const dispatch_job& job, const placed_attempt& placed,
                   bool was_suspect, boost::asio::yield_context yield) -> void;
  auto LogDecision(const dispatch_job& job, const placed_attempt& placed,
                   const job_state& state) -> void;

  traffic_context& context_;
};

}  // namespace lovagedale
