#include "lovagedale/entry/chat_handler.h"

#include <algorithm>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/relay/event_splitter.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::string_view kEndOfStream = "data: [DONE]\n\n";
constexpr std::string_view kDefaultTaskClass = "general";
constexpr std::size_t kMaxTaskClassBytes = 64;
/// A request chooses versions again if one becomes unavailable before dispatch.
constexpr int kMaxVersionChoices = 5;
/// After a stream's final event its end is read only so that the connection can
/// be reused: up to this time and size.
constexpr milliseconds kMaxStreamEndTime{100};
constexpr std::size_t kMaxStreamEndBytes = 1'024;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstClientError = 400;
/// Minimum rating, from 0 to 1, of a good answer.
constexpr double kGoodScore = 0.5;
constexpr std::int64_t kTokensPerPriceUnit = 1'000;

/// Throws unless the engine answered with success: a server error may be
/// retried, a client error is passed on.
auto CheckEngineStatus(const http_response_head& head, const std::string& body)
    -> void {
  if (head.status >= kFirstServerError) {
    throw http_call_error(http_call_error::stage::kSent,
                          "engine answered " + std::to_string(head.status));
  }
  if (head.status >= kFirstClientError) {
    throw request_refused(head.status, "engine_refused", body,
                          ran_state::kMaybe);
  }
}

auto CostOf(money_micros price_micros_per_1k_tokens,
            const completion_metadata& metadata) -> money_micros {
  const auto tokens =
      static_cast<money_micros>(metadata.input_tokens + metadata.output_tokens);
  return (tokens * price_micros_per_1k_tokens + kTokensPerPriceUnit - 1) /
         kTokensPerPriceUnit;
}

auto TaskClassOf(const http_request& request) -> std::string {
  const auto value = request.Header("Lovagedale-Task");
  if (value.empty()) return std::string(kDefaultTaskClass);
  if (value.size() > kMaxTaskClassBytes) {
    throw request_refused(
        400, "invalid",
        "Lovagedale-Task: got " + std::to_string(value.size()) +
            " bytes; allowed: at most " + std::to_string(kMaxTaskClassBytes),
        ran_state::kNo);
  }
  return std::string(value);
}

}  // namespace

/// State of one request while its cascade runs.
struct chat_handler::chat_run {
  chat_run(http_exchange& for_exchange, const caller_identity& for_caller)
      : exchange(for_exchange),
        caller(for_caller),
        request(ParseChatRequest(for_exchange.request().body)) {}

  http_exchange& exchange;
  const caller_identity& caller;
  chat_request request;
  std::shared_ptr<const routing_table> table;
  customer owner;  ///< as in `table`, whose versions it names by position
  std::string task_class;
  std::uint64_t fingerprint = 0;
  version_choice choice;
  /// Whether RateIfSampled must skip the current answer, since IsAccepted has
  /// already decided whether to rate it.
  bool was_rated = false;

  event_relay relay;
  std::string delivered;  ///< events that were sent to the caller
  bool stream_started = false;
  completion_metadata totals;  ///< of all steps
  money_micros price = 0;      ///< of the current version, micros per 1k tokens
  money_micros cost = 0;
  std::uint32_t attempts = 0;
  ran_state ran = ran_state::kNo;  ///< of all attempts that have ended
  std::string answered_by;
  /// The version whose answer was rejected, and that answer's signal bin.
  std::string rejected_version;
  std::uint8_t rejected_bin = kNoSignal;
  bool billed = false;
  monotonic_ms started = 0;
  std::optional<monotonic_ms> first_byte_at;
};

struct chat_handler::buffered_answer {
  std::string body;
  completion_metadata metadata;
};

auto chat_handler::Handle(http_exchange& exchange,
                          const caller_identity& caller) -> void {
  chat_run run(exchange, caller);
  AdoptNewestTable(run);
  run.task_class = TaskClassOf(exchange.request());
  run.fingerprint = HashFields(run.owner.name, exchange.request().body);
  run.started = context_.clock.Now();
  std::optional<request_refused> refusal;
  bool caller_disconnected = false;
  try {
    RunPlan(run);
  } catch (const request_refused& error) {
    refusal = error.After(run.ran);
  } catch (const caller_disconnected_error&) {
    caller_disconnected = true;
  }
  if (!run.billed && (run.totals.output_tokens > 0 || run.stream_started)) {
    completion_metadata partial;
    partial.output_tokens = run.relay.event_count();
    run.totals.output_tokens += partial.output_tokens;
    run.cost += CostOf(run.price, partial);
    context_.metrics->Count(entry_counter::kPartialAnswers);
    Bill(run, bill_status::kPartial);
  }
  if (caller_disconnected) {
    throw caller_disconnected_error("caller left before the answer's end");
  }
  if (!refusal) return;
  if (!run.stream_started) throw *refusal;
  // The answer cannot be completed: send an error event before the end.
  log_line(log_level::kWarning, "stream_ended_early")
      .With("request", caller.request_id)
      .With("customer", run.owner.name)
      .With("type", refusal->type())
      .With("reason", refusal->what());
  exchange.Write("event: error\ndata: " +
                 RefusalJson(*refusal, caller.request_id) + "\n\n");
  exchange.EndStream();
}

auto chat_handler::RunPlan(chat_run& run) -> void {
  for (int round = 0; round < kMaxVersionChoices; ++round) {
    ChooseVersions(run);
    try {
      for (std::size_t step = 0; step < run.choice.steps.size(); ++step) {
        const bool is_last = step + 1 == run.choice.steps.size();
        if (is_last && run.request.stream) {
          RunStreamed(run, step);
          EndStream(run);
          return;
        }
        const auto answer = RunBuffered(run, step);
        if (is_last || IsAccepted(run, step, answer)) {
          RespondBuffered(run, answer);
          return;
        }
        context_.metrics->Count(entry_counter::kEscalations);
        run.rejected_version = run.choice.steps[step].version;
        run.was_rated = false;
        run.rejected_bin = answer.metadata.signal
                               ? SignalBin(*answer.metadata.signal)
                               : kNoSignal;
        log_line(log_level::kInfo, "cascade_escalated")
            .With("request", run.caller.request_id)
            .With("from", run.choice.steps[step].version)
            .With("to", run.choice.steps[step + 1].version)
            .With("signal", answer.metadata.signal.value_or(-1))
            .With("accept_from_bin",
                  static_cast<int>(run.choice.steps[step].accept_from_bin));
      }
    } catch (const version_unavailable& error) {
      context_.metrics->Count(entry_counter::kStoppedBeforeDispatch);
      log_line(log_level::kInfo, "version_changed_before_dispatch")
          .With("request", run.caller.request_id)
          .With("reason", error.what());
      if (error.ran() == ran_state::kMaybe) run.ran = ran_state::kMaybe;
      AdoptNewestTable(run);
    }
  }
  throw request_refused(503, "no_version",
                        "no allowed version stayed available", run.ran, 1);
}

auto chat_handler::AdoptNewestTable(chat_run& run) -> void {
  run.table = context_.state.table.load();
  run.owner =
      RequireCustomer(run.table->config(), run.caller.customer, run.ran);
}

auto chat_handler::ChooseVersions(chat_run& run) -> void {
  run.choice = versions_.Choose(
      {*run.table, run.owner, run.caller.request_id, run.request.model,
       run.exchange.request().Header("Lovagedale-Session"), run.task_class});
  run.rejected_version.clear();
  run.was_rated = false;
}

auto chat_handler::IsAccepted(chat_run& run, std::size_t step,
                              const buffered_answer& answer) -> bool {
  const auto& signal = answer.metadata.signal;
  const auto bin = signal ? SignalBin(*signal) : kNoSignal;
  const bool is_confident = bin >= run.choice.steps[step].accept_from_bin;
  if (!run.choice.explores) return is_confident;
  if (!run.choice.waits_for_rating) {
    RateIfSampled(run, run.choice.steps[step].version, answer.metadata.text,
                  signal);
    run.was_rated = is_confident;
    return is_confident;
  }
  run.was_rated = true;
  const auto& rating = run.table->config().rating;
  if (!rating) return is_confident;
  const auto score =
      ratings_.Rate(*rating,
                    MakeRatingRequest(run, run.choice.steps[step].version,
                                      answer.metadata.text, signal),
                    run.exchange.yield());
  return is_confident && score && *score >= kGoodScore;
}

auto chat_handler::MakeJob(chat_run& run, std::size_t step) -> dispatch_job {
  const auto& version = run.choice.steps[step].version;
  // The step is billed at the price in force when it starts, even if the price
  // changes while it runs.
  const auto table = context_.state.table.load();
  const auto id = table->config().FindVersion(version);
  if (!id) throw version_unavailable(version + " was removed", run.ran);
  run.price = table->config().versions[*id].price_micros_per_1k_tokens;
  dispatch_job job;
  job.request_id = run.caller.request_id;
  job.customer = run.owner.name;
  job.version = version;
  job.fingerprint = run.fingerprint;
  job.prefixes = PrefixHashes(version, run.request.prompt);
  job.patience = run.owner.patience;
  job.version_reason = run.choice.reason;
  job.alternatives = run.choice.alternatives;
  const bool is_last = step + 1 == run.choice.steps.size();
  job.make_request = [&run, version, is_last] {
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"Lovagedale-Request-Id", run.caller.request_id}};
    request.body =
        MakeEngineBody(run.exchange.request().body,
                       {version, is_last && run.request.stream,
                        run.owner.patience == patience_class::kPatient,
                        TextOfEvents(run.delivered)});
    return request;
  };
  job.on_failure = [this, key = MakeEvidenceKey(run, version, std::nullopt)] {
    context_.state.evidence.Add(key, {.requests = 1, .errors = 1});
  };
  return job;
}

auto chat_handler::RunBuffered(chat_run& run, std::size_t step)
    -> buffered_answer {
  const auto job = MakeJob(run, step);
  const auto& deadlines = context_.state.settings.deadlines;
  auto& yield = run.exchange.yield();
  buffered_answer answer;
  const auto result = dispatcher_.Run(
      job,
      [&](http_connection& connection, const http_response_head& head) {
        answer.body = connection.ReadAll(deadlines, yield);
        CheckEngineStatus(head, answer.body);
        const auto metadata = ParseEngineAnswer(answer.body);
        if (!metadata) {
          throw http_call_error(http_call_error::stage::kAnswerBroken,
                                "engine's answer is not a chat completion");
        }
        answer.metadata = *metadata;
      },
      yield);
  run.attempts += result.attempts;
  run.ran = ran_state::kMaybe;
  run.answered_by = job.version;
  run.totals.input_tokens += answer.metadata.input_tokens;
  run.totals.output_tokens += answer.metadata.output_tokens;
  run.cost += CostOf(run.price, answer.metadata);
  RecordOutcome(run, job.version, answer.metadata.signal);
  return answer;
}

auto chat_handler::RunStreamed(chat_run& run, std::size_t step) -> void {
  const auto job = MakeJob(run, step);
  const auto& deadlines = context_.state.settings.deadlines;
  auto& yield = run.exchange.yield();
  run.answered_by = job.version;
  completion_metadata metadata;
  const auto deliver = [&](std::string_view events) {
    if (const auto usage = UsageOfEvent(events)) {
      metadata = *usage;
      if (!run.request.include_usage) return;
    }
    if (!run.stream_started) {
      run.stream_started = true;
      run.first_byte_at = context_.clock.Now();
      run.exchange.StartStream(200, "text/event-stream", AnswerHeaders(run));
    }
    run.delivered += events;
    run.exchange.Write(events);
  };
  const auto read_events = [&](http_connection& connection,
                               const http_response_head& head) {
    if (head.status >= kFirstClientError) {
      CheckEngineStatus(head, connection.ReadAll(deadlines, yield));
    }
    run.relay.DropIncomplete();
    if (!run.delivered.empty()) {
      context_.metrics->Count(entry_counter::kResumedStreams);
    }
    for (;;) {
      const auto bytes = connection.ReadSome(deadlines, yield);
      if (bytes.empty()) break;
      const auto events = run.relay.Feed(bytes);
      if (!events.empty()) deliver(events);
      if (run.relay.IsDone()) {
        // The answer is complete; what follows its final event is not part of
        // it.
        auto end_deadlines = deadlines;
        end_deadlines.body = std::min(deadlines.body, kMaxStreamEndTime);
        connection.SkipRest(end_deadlines, kMaxStreamEndBytes, yield);
        break;
      }
      if (run.relay.pending_bytes() > kMaxEventBytes) {
        throw http_call_error(http_call_error::stage::kAnswerBroken,
                              "an event of " +
                                  std::to_string(run.relay.pending_bytes()) +
                                  " bytes is not complete");
      }
    }
    if (!run.relay.IsDone()) {
      throw http_call_error(http_call_error::stage::kAnswerBroken,
                            "the stream ended without its final event");
    }
  };
  const auto result = dispatcher_.Run(job, read_events, yield);
  run.attempts += result.attempts;
  run.ran = ran_state::kMaybe;
  if (metadata.output_tokens == 0) {
    metadata.output_tokens = run.relay.event_count();
  }
  run.totals.input_tokens += metadata.input_tokens;
  run.totals.output_tokens += metadata.output_tokens;
  run.cost += CostOf(run.price, metadata);
  RecordOutcome(run, job.version, std::nullopt);
}

auto chat_handler::AnswerHeaders(const chat_run& run) const -> header_list {
  header_list headers = {{"Lovagedale-Request-Id", run.caller.request_id},
                         {"Lovagedale-Version", run.answered_by}};
  if (run.choice.session) {
    headers.emplace_back(
        "Lovagedale-Session",
        FormatSessionToken(*run.choice.session, run.owner.name));
  }
  return headers;
}

auto chat_handler::RespondBuffered(chat_run& run, const buffered_answer& answer)
    -> void {
  // The answer waits for its bill to be stored, but for at most 1 s: after that
  // it is sent, and the bill is still resent in the background.
  Bill(run, bill_status::kComplete);
  context_.metrics->Observe(
      entry_latency::kTotal,
      static_cast<double>(context_.clock.Now() - run.started));
  if (run.request.stream) {
    run.exchange.StartStream(200, "text/event-stream", AnswerHeaders(run));
    run.exchange.Write(AnswerAsEvents(answer.body));
    run.exchange.Write(kEndOfStream);
    run.exchange.EndStream();
  } else {
    run.exchange.RespondJson(200, answer.body, AnswerHeaders(run));
  }
  RateIfSampled(run, run.answered_by, answer.metadata.text,
                answer.metadata.signal);
}

auto chat_handler::EndStream(chat_run& run) -> void {
  Bill(run, bill_status::kComplete);
  if (!run.stream_started) {
    run.exchange.StartStream(200, "text/event-stream", AnswerHeaders(run));
  }
  run.exchange.Write(kEndOfStream);
  run.exchange.EndStream();
  const auto now = context_.clock.Now();
  context_.metrics->Observe(entry_latency::kTotal,
                            static_cast<double>(now - run.started));
  context_.metrics->Observe(
      entry_latency::kFirstByte,
      static_cast<double>(run.first_byte_at.value_or(now) - run.started));
  RateIfSampled(run, run.answered_by, TextOfEvents(run.delivered),
                std::nullopt);
}

auto chat_handler::Bill(chat_run& run, bill_status status) -> void {
  bill_record bill;
  bill.request_id = run.caller.request_id;
  bill.customer = run.owner.name;
  bill.version = run.answered_by;
  bill.input_tokens = run.totals.input_tokens;
  bill.output_tokens = run.totals.output_tokens;
  bill.cost_micros = run.cost;
  bill.attempts = run.attempts;
  bill.status = status;
  run.billed = true;
  context_.StoreBill(std::move(bill), run.exchange.yield());
}

auto chat_handler::MakeEvidenceKey(const chat_run& run,
                                   const std::string& version,
                                   std::optional<double> signal) const
    -> evidence_key {
  if (!run.rejected_version.empty()) {
    return {version, EscalatedClass(run.task_class, run.rejected_version),
            run.rejected_bin};
  }
  return {version, run.task_class, signal ? SignalBin(*signal) : kNoSignal};
}

auto chat_handler::RecordOutcome(const chat_run& run,
                                 const std::string& version,
                                 std::optional<double> signal) -> void {
  context_.state.evidence.Add(MakeEvidenceKey(run, version, signal),
                              {.requests = 1});
}

auto chat_handler::MakeRatingRequest(const chat_run& run,
                                     const std::string& version,
                                     const std::string& answer,
                                     std::optional<double> signal) const
    -> rating_request {
  return {run.caller.request_id,
          run.owner.name,
          run.task_class,
          version,
          run.request.prompt,
          answer,
          MakeEvidenceKey(run, version, signal)};
}

auto chat_handler::RateIfSampled(const chat_run& run,
                                 const std::string& version,
                                 const std::string& answer,
                                 std::optional<double> signal) -> void {
  const auto& rating = run.table->config().rating;
  if (!rating || run.was_rated) return;
  const auto id = run.table->config().FindVersion(version);
  const bool is_rollout =
      id && run.table->Route(*id).phase == version_phase::kRollout;
  const auto draw = ToUnitInterval(HashFields(run.caller.request_id, "rating"));
  if (!is_rollout && !run.choice.explores &&
      draw >= run.choice.rating_fraction) {
    return;
  }
  ratings_.RateInBackground(*rating,
                            MakeRatingRequest(run, version, answer, signal));
}

}  // namespace lovagedale
