#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/http/server.h"
#include "lovagedale/relay/call.h"
#include "lovagedale/relay/event_splitter.h"
#include "lovagedale/relay/relay_state.h"
#include "lovagedale/relay/silence_timer.h"
#include "lovagedale/scheduling/model_choice.h"

namespace lovagedale {

/// How one attempt at a server ended.
enum class attempt_result {
  kAnswered,    ///< the answer was sent, or the caller has disconnected
  kNotReached,  ///< no byte reached the server
  kNotRun,      ///< the server did not run the request, and never will
  kMaybeRun,    ///< it may have run; no usable answer
  kFailed,      ///< the server answered with a failure; see kept_failure
  kEscalated,   ///< the answer was dropped in favour of a larger model's
};

/// Why this process ends a request without a server's answer.
enum class refusal {
  kNoConfiguration,
  kMalformed,
  kNoRoute,
  kUnknownKey,
  kStopping,        ///< this process stops before the call could end
  kStopped,         ///< it may have run; this process stops now
  kNoServer,        ///< no server of the service is known that takes calls
  kUnreachable,     ///< no server of the service can be reached
  kServersRefuse,   ///< every server that was asked refused to run it
  kExpired,         ///< the time limit passed before it was sent
  kBadGateway,      ///< it may have run; the answer is lost
  kTimeout,         ///< it may have run; the time limit passed
  kQuarantined,     ///< requests like it crash the servers
  kServersLimited,  ///< the servers take no more for now, and say so
  kUnknownModel,    ///< the caller names a model that no server has
  kEvacuated,       ///< all zones with servers of the service are evacuated
  kOverloaded,      ///< it could not begin within its time limit
};

struct refusal_answer {
  unsigned status = 500;
  const char* reason = "";
  /// Set if the request has not run: when the caller may retry.
  std::optional<double> retry_after_s;
};
auto AnswerFor(refusal why) -> refusal_answer;
/// Whether another entry may serve a call that this one refuses.
auto MayServeElsewhere(refusal why) -> bool;
/// Who sent a call to this entry.
enum class call_origin {
  kCaller,
  kEntry,  ///< that reaches no server; the call is not forwarded again
};

/// Formats with two decimals, for Retry-After.
auto FormatSeconds(double seconds) -> std::string;

/// Forwards callers' requests to discovered servers, by route, and returns the
/// answers byte for byte. Repeatable requests are retried after a failure;
/// resumable streams resume at another server.
template <call_protocol Protocol>
class relay {
 public:
  relay(relay_state& state, Protocol protocol)
      : state_(state), protocol_(std::move(protocol)) {}

  auto Handle(http_exchange& exchange, call_origin origin) -> void;

 private:
  relay_state& state_;
  Protocol protocol_;
};

/// Why an attempt was given up: in favour of another one, or because this
/// process stops now.
enum class give_up_reason { kNone, kZoneLost, kSilent, kStopping };

/// One caller's request. Used only by the fiber that handles it.
template <call_protocol Protocol>
class relayed_call {
 public:
  relayed_call(relay_state& state, const Protocol& protocol,
               http_exchange& exchange, call_origin origin)
      : state_(state),
        protocol_(protocol),
        exchange_(exchange),
        origin_(origin),
        view_(state.view),
        started_ms_(clock_.Now()) {}

  auto Run() -> void;

 private:
  /// A server's failure, returned to the caller if no later attempt succeeds.
  struct kept_failure {
    http_response_head head;
    std::string body;
    std::unique_ptr<byte_reservation> memory;  ///< of the body
  };

  /// Waits for the first routes while the process is starting, and for those by
  /// which another entry has admitted the call.
  auto AwaitRoutes() -> void;
  /// Value of a forwarding_header of the request; 0 if there is none.
  auto ForwardingNumber(std::string_view name) const -> std::uint64_t;
  /// Finds route, customer and service; false if the request was refused.
  auto Admit() -> bool;
  /// Sets everything that follows from the routes of view_. Returns why they do
  /// not allow the call, if so; the call must then be refused, as it has no
  /// route any more.
  auto MatchRoute() -> std::optional<refusal>;
  /// The same by the newest routes, for a call that no server has got yet.
  auto FollowRoutes() -> std::optional<refusal>;
  /// Counts the call towards the retry budget of its service.
  auto CountRequest() -> void;
  /// Waits for the call's turn; false if it was refused.
  auto AwaitTurn() -> bool;
  /// Waits for the turn of the call on its current model.
  auto EnterGate() -> admission_decision;
  /// Ends AwaitTurn early.
  auto EndWait() -> void;
  auto RunAttempts() -> void;
  auto Attempt(const server_handle& server) -> attempt_result;
  /// Connects and sends; throws http_call_error.
  auto SendTo(const server_handle& server) -> http_response_head;
  /// The entry through which the next attempt goes; null if it goes directly or
  /// nowhere.
  auto PickHelper() const -> helper_handle;
  auto AttemptThrough(const helper_handle& helper) -> attempt_result;
  /// Throws http_call_error.
  auto ForwardTo(const helper_handle& helper) -> attempt_result;
  /// Reads the rest of a refusal, so that its connection can be reused. False
  /// if it does not end soon.
  auto SkipRefusalBody() -> bool;
  /// Adds the servers that the helper has tried, beyond the first.
  auto CountHelperAttempts(const http_response_head& head) -> void;
  auto RelayForwardedAnswer(const http_response_head& head) -> attempt_result;
  /// Headers of a server's answer, as sent on.
  auto AnswerHeaders(const http_response_head& head) const -> header_list;
  /// Throws http_call_error if a refusal may be that of another request.
  auto CheckRefusal(const server_answer_metadata& metadata) -> void;
  /// Skips answers to other requests; `deadlines` are those of the request.
  /// Throws http_call_error.
  auto ReadMatchingHead(http_response_head head,
                        const http_deadlines& deadlines) -> http_response_head;
  /// Whether the route may run on the model that the caller names, if it does.
  auto IsModelAllowed() const -> bool;
  /// The model that requests to servers name; empty if they name none.
  auto SentModel() const -> std::string;
  /// Called when a server has run the request.
  auto RecordRun(const server_handle& server) -> void;
  /// Records that a server has taken the request for one that is not meant for
  /// it, or that names a model which it does not have.
  auto RecordMisdirected(const server_handle& server) -> void;
  /// Whether servers have refused the call for the model that its caller names.
  auto IsModelRefused() const -> bool;
  /// Records what the server says of itself in an answer.
  auto RecordNotices(const server_handle& server,
                     const http_response_head& head,
                     const server_answer_metadata& metadata) -> void;
  /// Records the limit that the answer names, or that it names none.
  auto RecordLimit(const server_handle& server, const http_response_head& head,
                   const server_answer_metadata& metadata) -> void;
  auto RelayFullAnswer(const server_handle& server,
                       const http_response_head& head) -> attempt_result;
  /// `server` is null if the answer comes through another entry.
  auto RelayStream(const server_handle& server, const http_response_head& head)
      -> attempt_result;
  /// Whether the answer is dropped for its low confidence. If so, the largest
  /// model is selected for the next attempt, which is counted in the retry
  /// budget.
  auto EscalateIfUncertain(const server_handle& server,
                           const server_answer_metadata& metadata) -> bool;
  /// Index of the model for the first attempt: the smallest, as a weak answer
  /// can be replaced. A call that may run once starts on the largest one that
  /// StartsOnLargerModel allows.
  auto FirstModel() const -> std::size_t;
  /// What the decision about a larger model, an index, depends on.
  /// `assumed_ms`: its time to the first event, if few answers are known.
  auto EscalationInput(std::size_t model, double confidence,
                       const confidence_threshold& threshold,
                       double assumed_ms) const -> escalation_input;
  /// Gives up the attempt at a server that runs, if another attempt may replace
  /// it now; false if it goes on. A silent server is no reason to end a call
  /// before its time limit.
  auto GiveUpAttempt(const server_handle& server, give_up_reason why) -> bool;
  /// Whether the attempt has failed because it was cancelled, for a reason that
  /// the server has no part in. If so, sets attempt_reason_.
  auto IsCancelled() -> bool;
  /// Ends the current attempt, as the process has no time left.
  auto EndAttempt() -> void;
  /// Whether an attempt at another server may follow now. If the current one
  /// was sent, the next one is counted in the retry budget.
  auto ReserveAttempt(const server_handle& server) -> bool;
  /// The reachable servers that the next attempt may go to.
  auto CollectServers() const -> std::vector<server_handle>;
  /// The groups of the service's servers, if it has any.
  auto ServerGroups() -> const std::optional<server_groups>&;
  /// The least work of a heavy request at the service; nothing if it has no
  /// groups by its routes.
  auto ServiceHeavyMinWork() const -> std::optional<double>;
  /// The server for the next attempt; null if none can be reached, or within
  /// the servers' limits.
  auto PickServer() -> server_handle;
  /// Whether the server's limit lets the call pass. Counts the next attempt as
  /// demand for the server that was chosen first.
  auto PassesLimit(const server_handle& server) -> bool;
  /// The same for a server that has a limit; asks control.
  auto TakeFromLimit(const server_handle& server) -> bool;
  /// Whether a request may be sent to a server that is cold. Asks control.
  auto PassesColdLimit(const server_handle& server) -> bool;
  /// The same without counting; true for a server that is not cold any more.
  auto TakeFromColdLimit(const server_handle& server) -> bool;
  /// Whether the server may still be chosen after control was asked: much may
  /// have changed meanwhile.
  auto IsStillUsable(const server_handle& server) const -> bool;
  /// The next attempt is prevented until `until_ms`, or earlier if that was
  /// said before.
  auto LimitUntil(monotonic_ms until_ms) -> void;
  /// Called if no server is left: some may want no requests for a while.
  auto LimitByPauses() -> void;
  auto CountReachableServers() const -> std::size_t;
  /// Servers that may run the call, including those that have: one if the call
  /// must not be repeated.
  auto MaxAttempts() const -> std::uint32_t;
  /// Servers that another entry may still try; at least 1.
  auto AttemptsLeft() const -> std::uint32_t;
  auto MayRepeat() const -> bool;
  /// Whether the call, or a part of its prompt, is known to crash servers and
  /// it is no trial.
  auto IsQuarantined() -> bool;
  /// Called when an attempt has failed. Servers may have crashed by calls that
  /// they had not begun to answer.
  auto RecordBroken(const server_handle& server, const http_call_error& failure)
      -> void;
  /// Whether the call can be expected to end before `stop_ms`; see EndsBefore.
  auto CanEndBefore(monotonic_ms stop_ms) const -> bool;
  /// The work of the call's prompt on the current model; nothing if the route
  /// has no prompts.
  auto PromptWork() const -> std::optional<prompt_work>;
  /// Cost of the current model as a multiple of the route's smallest; 1 if
  /// unknown.
  auto ModelCost() const -> double;
  /// Predicts the first event of the next attempt, at a candidate; nothing if
  /// the call has no prompt.
  auto Predict(const std::vector<server_candidate>& candidates,
               std::size_t chosen, const choice_input& input) -> void;
  /// Called at the begin of an attempt.
  auto AddPromptWork(const server_handle& server) -> void;
  /// Called at the first event or the end of an attempt: the server has
  /// processed the prompt.
  auto ReleasePromptWork() -> void;
  /// Compares the time to the first event of the current attempt with the
  /// prediction.
  auto RecordPrediction(const server_handle& server) -> void;
  /// Throws http_call_error.
  [[noreturn]] auto FailMalformed() -> void;
  /// Starts the caller's stream if that has not been done yet.
  auto StartStream(const http_response_head& head) -> void;
  auto IsStreamAnswer(const http_response_head& head) const -> bool;
  auto AllowsAnotherAttempt(attempt_result result) -> bool;
  /// Listed servers of the service that are not leaving.
  auto CountAvailableServers() const -> std::size_t;
  auto Finish() -> void;
  auto Refuse(refusal why, const std::string& detail) -> void;
  auto RelayKeptFailure() -> void;
  auto RemainingMs() const -> monotonic_ms {
    return deadline_ms_ - clock_.Now();
  }
  /// Longest time to the first byte while another server may be tried.
  auto FirstByteTimeoutMs(monotonic_ms remaining_ms) const -> monotonic_ms;
  /// Key of the route and the current model in tier_table.
  auto TierKey() const -> std::pair<std::string, std::string>;
  /// Longest time without an event of a stream while another server may be
  /// tried.
  auto StallTimeoutMs() const -> monotonic_ms;
  auto Deadlines() const -> http_deadlines;
  /// Reads the next bytes of a stream whose latest event, or head, arrived at
  /// `last_event_ms`; empty at its end. Throws http_call_error, also if bytes
  /// keep arriving beyond the time limit.
  auto ReadStream(monotonic_ms last_event_ms) -> std::string_view;
  auto CountFirstEvent(const server_handle& server) -> void;
  /// Called when the server has outlived the begin of the answer, or the answer
  /// is complete: the call does not crash servers.
  auto RecordSettled() -> void;
  /// Records the time from the request to the first event, or to the complete
  /// answer if it is not a stream.
  auto RecordAnswerTime() -> void;
  auto CountAnswer(const server_handle& server, bool failed) -> void;
  /// `pause_ms`: between the first and the second event of a stream.
  auto CountFirstPause(const server_handle& server, monotonic_ms pause_ms)
      -> void;
  /// The counters for an answer of the server; null unless the service is being
  /// rolled out.
  auto VersionAnswers(const server_handle& server) -> version_answers*;
  auto LogAttempt(const server_handle& server, attempt_result result,
                  const std::string& reason) -> void;
  /// Counts the result of an attempt; whether it is to be logged as a failure.
  auto CountAttempt(attempt_result result) -> bool;
  auto LogForward(const helper_handle& helper, attempt_result result) -> void;
  auto LogOutcome(const char* outcome, unsigned status,
                  const std::string& detail) -> void;

  relay_state& state_;
  const Protocol& protocol_;
  http_exchange& exchange_;
  const call_origin origin_;
  system_monotonic_clock clock_;
  std::shared_ptr<const routing_view> view_;
  monotonic_ms started_ms_;
  monotonic_ms deadline_ms_ = 0;
  call_request call_;
  route_match match_;
  std::string service_;
  std::uint64_t session_hash_ = 0;
  std::size_t tier_ = 0;  ///< index of the current model in the route's models
  std::uint32_t runs_ = 0;      ///< attempts that a server may have run
  std::uint32_t sends_ = 0;     ///< all attempts; see kMaxSends
  std::uint32_t forwards_ = 0;  ///< attempts through other entries
  bool was_sent_ = false;       ///< the current attempt has begun to send
  give_up_reason given_up_ = give_up_reason::kNone;  ///< the current attempt
  /// The retry budget has counted the next attempt already.
  bool has_reserved_attempt_ = false;
  /// Servers, by id_hash, that have counted the next attempt as demand.
  std::set<std::uint64_t> demand_counted_at_;
  /// When a server will take a call, if only limits and pauses that servers
  /// name have prevented the next attempt.
  std::optional<monotonic_ms> limited_until_ms_;
  /// Runs while the current attempt waits for bytes; null if the call must not
  /// be repeated.
  std::unique_ptr<silence_timer> silence_;
  /// When the first event of the current attempt's answer arrived.
  std::optional<monotonic_ms> first_event_ms_;
  bool is_settled_ = false;  ///< see RecordSettled
  std::vector<crash_candidate> crash_candidates_;
  /// Set while the call runs although it is quarantined.
  std::unique_ptr<crash_monitor::trial> trial_;
  std::uint32_t broken_unanswered_ = 0;  ///< attempts; see RecordBroken
  std::vector<std::string> tried_servers_;
  /// Servers that have refused the call. A later attempt there needs a
  /// connection that carried no refusal: the server may write one twice.
  std::set<std::string> refusing_servers_;
  bool is_connection_fresh_ = false;  ///< of the current attempt
  std::uint32_t model_refusals_ = 0;  ///< attempts refused for the model
  bool may_have_run_ = false;
  bool caller_disconnected_ = false;
  std::unique_ptr<http_connection> connection_;
  monotonic_ms connect_began_ms_ = 0;
  monotonic_ms sent_ms_ = 0;
  server_handle prompt_server_;  ///< the server that processes the prompt
  double prompt_work_ = 0;
  double queued_work_ = 0;           ///< the predicted one, and its own
  std::optional<fiber_event> turn_;  ///< set while the call may wait for it
  std::pair<std::string, std::string>
      prompt_tier_key_;  ///< a key of tier_table
  monotonic_ms prompt_sent_ms_ = 0;
  /// For the server that was chosen last: the prediction, without the server's
  /// pace, and the work that it is based on.
  std::optional<first_event_prediction> predicted_;
  double predicted_at_pace_1_ms_ = 0;
  double predicted_work_ = 0;
  std::optional<kept_failure> kept_failure_;
  event_splitter events_;
  std::string stream_content_type_;  ///< as the caller got it
  std::string attempt_reason_;  ///< why the latest attempt failed, for the log
};

}  // namespace lovagedale

#include "lovagedale/relay/relay-inl.h"
#include "lovagedale/relay/relay_admission-inl.h"
#include "lovagedale/relay/relay_answers-inl.h"
#include "lovagedale/relay/relay_forwarding-inl.h"
#include "lovagedale/relay/relay_servers-inl.h"
