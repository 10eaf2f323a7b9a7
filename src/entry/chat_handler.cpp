#include "lovagedale/entry/chat_handler.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/json.hpp>

#include "lovagedale/cascade/exploration.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/log.h"
#include "lovagedale/session/session_token.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::string_view kAutoModel = "auto";
constexpr std::string_view kNewSession = "new";
constexpr std::string_view kEndOfStream = "data: [DONE]\n\n";
constexpr std::string_view kDefaultTaskClass = "general";
constexpr std::size_t kMaxTaskClassBytes = 64;
constexpr milliseconds kBillTimeout{1'000};
/// Times that a request may choose again because its version went away.
constexpr int kMaxChoices = 5;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstClientError = 400;
/// Share of answers offered for rating where no plan names one.
constexpr double kDefaultRatingShare = 0.1;
/// Ratings from this on count as good.
constexpr double kGoodScore = 0.5;
constexpr http_deadlines kRatingDeadlines{
    milliseconds(300), milliseconds(5'000), milliseconds(5'000)};
constexpr double kRatingBurstSeconds = 2;
constexpr std::int64_t kTokensPerPrice = 1'000;

auto ReadWhole(http_connection& connection, const http_deadlines& deadlines,
               asio::yield_context yield) -> std::string {
  std::string body;
  for (;;) {
    const auto part = connection.ReadSome(deadlines, yield);
    if (part.empty()) return body;
    body += part;
  }
}

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

auto CostOf(const model_version& version, const answer_facts& facts) -> micros {
  const auto tokens =
      static_cast<micros>(facts.input_tokens + facts.output_tokens);
  return (tokens * version.price_per_1k_tokens + kTokensPerPrice - 1) /
         kTokensPerPrice;
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

/// One request on its way through the cascade.
struct chat_handler::chat_run {
  struct step {
    std::string version;
    std::uint8_t accept_from_bin = 0;
  };

  chat_run(http_exchange& for_exchange, const caller_identity& for_caller,
           std::shared_ptr<const routing_table> at_table)
      : exchange(for_exchange),
        caller(for_caller),
        request(ParseChatRequest(for_exchange.request().body)),
        table(std::move(at_table)) {}

  http_exchange& exchange;
  const caller_identity& caller;
  chat_request request;
  std::shared_ptr<const routing_table> table;
  customer owner;
  std::string task_class;
  std::uint64_t fingerprint = 0;
  std::optional<session_token> session;
  bool wants_session = false;

  std::vector<step> steps;
  std::string reason;
  std::vector<std::string> alternatives;
  bool explores = false;  ///< the first step tries a little-known version
  bool waits_for_rating = false;  ///< before an explored answer is used
  double rating_share = kDefaultRatingShare;
  bool was_rated = false;  ///< the answer in hand

  event_relay relay;
  std::string delivered;  ///< events that the caller has
  bool stream_started = false;
  answer_facts facts;
  micros cost = 0;
  std::uint32_t attempts = 0;
  std::string answered_by;
  /// The version whose answer was not kept, and the answer's signal bin.
  std::string rejected_version;
  std::uint8_t rejected_bin = kNoSignal;
  bool billed = false;
  monotonic_ms started = 0;
  std::optional<monotonic_ms> first_byte_at;
};

struct chat_handler::buffered_answer {
  std::string body;
  answer_facts facts;
};

auto chat_handler::Handle(http_exchange& exchange,
                          const caller_identity& caller) -> void {
  chat_run run(exchange, caller, context_.state.table.load());
  const auto id = run.table->config().FindCustomer(caller.customer);
  if (!id) {
    throw request_refused(403, "not_allowed", "the customer was removed",
                          ran_state::kNo);
  }
  run.owner = run.table->config().customers[*id];
  run.task_class = TaskClassOf(exchange.request());
  run.fingerprint = HashFields(run.owner.name, exchange.request().body);
  run.started = context_.clock.Now();
  std::optional<request_refused> refusal;
  bool caller_left = false;
  try {
    RunPlan(run);
  } catch (const request_refused& error) {
    refusal = error;
  } catch (const caller_gone&) {
    caller_left = true;
  }
  if (!run.billed && (run.facts.output_tokens > 0 || run.stream_started)) {
    run.facts.output_tokens =
        std::max(run.facts.output_tokens, run.relay.events());
    context_.metrics->Count(entry_counter::kPartialAnswers);
    Bill(run, bill_status::kPartial);
  }
  if (caller_left) throw caller_gone("caller left before the answer's end");
  if (!refusal) return;
  if (!run.stream_started) throw *refusal;
  // The answer cannot be finished: say so instead of just ending it.
  exchange.Write("event: error\ndata: " +
                 RefusalJson(*refusal, caller.request_id) + "\n\n");
  exchange.EndStream();
}

auto chat_handler::RunPlan(chat_run& run) -> void {
  for (int choice = 0; choice < kMaxChoices; ++choice) {
    ChoosePlan(run);
    try {
      for (std::size_t step = 0; step < run.steps.size(); ++step) {
        const bool is_last = step + 1 == run.steps.size();
        if (is_last && run.request.stream) {
          RunStreamed(run, step);
          EndStream(run);
          return;
        }
        const auto answer = RunBuffered(run, step);
        if (is_last || IsKept(run, step, answer)) {
          AnswerBuffered(run, answer);
          return;
        }
        context_.metrics->Count(entry_counter::kEscalations);
        run.rejected_version = run.steps[step].version;
        run.was_rated = false;
        run.rejected_bin =
            answer.facts.signal ? SignalBin(*answer.facts.signal) : kNoSignal;
        log_line(log_level::kInfo, "cascade_escalated")
            .With("request", run.caller.request_id)
            .With("from", run.steps[step].version)
            .With("to", run.steps[step + 1].version)
            .With("signal", answer.facts.signal.value_or(-1))
            .With("accept_from_bin",
                  static_cast<int>(run.steps[step].accept_from_bin));
      }
    } catch (const version_unavailable& gone) {
      context_.metrics->Count(entry_counter::kStoppedBeforeDispatch);
      log_line(log_level::kInfo, "version_changed_before_dispatch")
          .With("request", run.caller.request_id)
          .With("reason", gone.what());
      run.table = context_.state.table.load();
    }
  }
  throw request_refused(
      503, "no_version", "no allowed version stayed available",
      run.attempts > 0 ? ran_state::kMaybe : ran_state::kNo, 1);
}

auto chat_handler::ChoosePlan(chat_run& run) -> void {
  run.steps.clear();
  run.alternatives.clear();
  for (const auto version : run.owner.versions) {
    if (version < run.table->config().versions.size()) {
      run.alternatives.push_back(run.table->config().versions[version].name);
    }
  }
  const auto header = run.exchange.request().Header("Lovagedale-Session");
  run.wants_session = header == kNewSession;
  if (!header.empty() && !run.wants_session) {
    ChooseSessionVersion(run);
    return;
  }
  if (run.request.model != kAutoModel) {
    ChooseNamedVersion(run);
  } else {
    ChooseLearnedPlan(run);
    // A session keeps one version: the one that the cascade ends with.
    if (run.wants_session && run.steps.size() > 1) {
      run.steps.erase(run.steps.begin(), run.steps.end() - 1);
    }
  }
  if (run.steps.empty()) {
    throw request_refused(503, "no_version",
                          "no allowed version may receive work now",
                          ran_state::kNo, 1);
  }
  SubstituteRollouts(run);
  if (run.wants_session) {
    run.session =
        session_token{run.steps.back().version, context_.NextRandom()};
  }
}

auto chat_handler::ChooseLearnedPlan(chat_run& run) -> void {
  const auto& plan = context_.PlanFor(run.owner.name, run.task_class);
  const auto draw = UnitInterval(HashFields(run.caller.request_id, "mix"));
  for (const auto& step : plan.Pick(draw)) {
    run.steps.push_back({step.version, step.accept_from_bin});
  }
  run.reason = run.steps.size() > 1 ? "cascade" : "direct";
  if (run.steps.empty()) return;
  const auto shares = plan.rating_shares.find(run.steps.back().version);
  if (shares != plan.rating_shares.end()) run.rating_share = shares->second;
  auto explore_draw =
      UnitInterval(HashFields(run.caller.request_id, "explore"));
  for (const auto& item : plan.explored) {
    if (explore_draw >= item.share) {
      explore_draw -= item.share;
      continue;
    }
    const auto safe = plan.first.back().version;
    if (run.wants_session || item.version == safe) return;
    run.steps = {{item.version, kExplorationBin}, {safe, 0}};
    run.reason = "exploration";
    run.explores = true;
    run.waits_for_rating = plan.waits_for_rating;
    return;
  }
}

auto chat_handler::IsKept(chat_run& run, std::size_t step,
                          const buffered_answer& answer) -> bool {
  const auto& signal = answer.facts.signal;
  const auto bin = signal ? SignalBin(*signal) : kNoSignal;
  const bool is_confident = bin >= run.steps[step].accept_from_bin;
  if (!run.explores) return is_confident;
  if (!run.waits_for_rating) {
    MaybeRate(run, run.steps[step].version, answer.facts.text, signal);
    run.was_rated = is_confident;
    return is_confident;
  }
  run.was_rated = true;
  const auto score = AskRating(run, run.steps[step].version, answer.facts.text,
                               KeyOf(run, run.steps[step].version, signal),
                               run.exchange.yield());
  return is_confident && score && *score >= kGoodScore;
}

auto chat_handler::ChooseSessionVersion(chat_run& run) -> void {
  const auto token = ParseSessionToken(
      run.exchange.request().Header("Lovagedale-Session"), run.owner.name);
  if (!token) {
    throw request_refused(400, "invalid",
                          "Lovagedale-Session: not a session of this customer; "
                          "allowed: \"new\" or a session id that was returned",
                          ran_state::kNo);
  }
  const auto& config = run.table->config();
  const auto version = config.FindVersion(token->version);
  const auto resolved =
      version ? run.table->ResolveSession(*version) : std::nullopt;
  if (!resolved) {
    throw request_refused(410, "session_ended",
                          "the session's version was withdrawn and has no "
                          "successor",
                          ran_state::kNo);
  }
  const auto& name = config.versions[*resolved].name;
  if (!run.owner.Allows(*resolved)) {
    throw request_refused(403, "not_allowed",
                          "the customer may not use version " + name,
                          ran_state::kNo);
  }
  if (!context_.state.MayRun(*run.table, *resolved, context_.clock.Now())) {
    throw request_refused(503, "no_version",
                          "the session's version may not receive work now",
                          ran_state::kNo, 1);
  }
  run.steps = {{name, 0}};
  run.reason = *resolved == *version ? "session" : "session_successor";
  run.session = session_token{name, token->nonce};
}

auto chat_handler::SteadyVersionFor(const chat_run& run,
                                    const std::string& model) -> std::string {
  const auto& config = run.table->config();
  std::string name;
  for (version_id id = 0; id < config.versions.size(); ++id) {
    if (config.versions[id].model != model || !run.owner.Allows(id)) continue;
    if (run.table->Route(id).phase == version_phase::kSteady) {
      name = config.versions[id].name;
    }
  }
  return name;
}

auto chat_handler::ChooseNamedVersion(chat_run& run) -> void {
  const auto& config = run.table->config();
  const auto& wanted = run.request.model;
  if (const auto exact = config.FindVersion(wanted)) {
    if (!run.owner.Allows(*exact)) {
      throw request_refused(403, "not_allowed",
                            "the customer may not use version " + wanted,
                            ran_state::kNo);
    }
    if (!context_.state.MayRun(*run.table, *exact, context_.clock.Now())) {
      throw request_refused(503, "no_version",
                            "version " + wanted + " may not receive new work",
                            ran_state::kNo, 1);
    }
    run.steps = {{wanted, 0}};
    run.reason = "named_version";
    return;
  }
  const auto name = SteadyVersionFor(run, wanted);
  if (name.empty()) {
    throw request_refused(404, "unknown_model",
                          "model: got \"" + wanted +
                              "\"; allowed: \"auto\" or one that /v1/models "
                              "lists",
                          ran_state::kNo);
  }
  run.steps = {{name, 0}};
  run.reason = "named_model";
}

auto chat_handler::SubstituteRollouts(chat_run& run) -> void {
  if (run.reason == "named_version") return;
  const auto& config = run.table->config();
  const auto now = context_.clock.Now();
  for (auto& step : run.steps) {
    const auto steady = config.FindVersion(step.version);
    if (!steady) continue;  // Removed meanwhile; the dispatcher refuses it.
    for (const auto version : run.owner.versions) {
      const auto& route = run.table->Route(version);
      if (route.phase != version_phase::kRollout ||
          config.versions[version].model != config.versions[*steady].model ||
          !context_.state.MayRun(*run.table, version, now)) {
        continue;
      }
      const auto& name = config.versions[version].name;
      if (UnitInterval(HashFields(run.caller.request_id, name)) >=
          route.share) {
        continue;
      }
      step.version = name;
      run.reason += "+rollout";
      break;
    }
  }
}

auto chat_handler::MakeJob(chat_run& run, std::size_t step) -> dispatch_job {
  const auto& version = run.steps[step].version;
  dispatch_job job;
  job.request_id = run.caller.request_id;
  job.customer = run.owner.name;
  job.version = version;
  job.fingerprint = run.fingerprint;
  job.prefixes = PrefixHashes(version, run.request.prompt);
  job.patience = run.owner.patience;
  job.reason = run.reason;
  job.alternatives = run.alternatives;
  const bool is_last = step + 1 == run.steps.size();
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
  job.on_failure = [this, key = KeyOf(run, version, std::nullopt)] {
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
  const auto result = servers_.Run(
      job,
      [&](http_connection& connection, const http_response_head& head) {
        answer.body = ReadWhole(connection, deadlines, yield);
        CheckEngineStatus(head, answer.body);
        const auto facts = ParseEngineAnswer(answer.body);
        if (!facts) {
          throw http_call_error(http_call_error::stage::kAnswerBroken,
                                "engine's answer is not a chat completion");
        }
        answer.facts = *facts;
      },
      yield);
  run.attempts += result.attempts;
  run.answered_by = job.version;
  run.facts.input_tokens += answer.facts.input_tokens;
  run.facts.output_tokens += answer.facts.output_tokens;
  const auto& config = run.table->config();
  run.cost +=
      CostOf(config.versions[*config.FindVersion(job.version)], answer.facts);
  RecordOutcome(run, job.version, answer.facts.signal);
  return answer;
}

auto chat_handler::RunStreamed(chat_run& run, std::size_t step) -> void {
  const auto job = MakeJob(run, step);
  const auto& deadlines = context_.state.settings.deadlines;
  auto& yield = run.exchange.yield();
  run.answered_by = job.version;
  answer_facts facts;
  const auto deliver = [&](std::string_view events) {
    if (const auto usage = UsageOfEvent(events)) {
      facts = *usage;
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
      CheckEngineStatus(head, ReadWhole(connection, deadlines, yield));
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
    }
    if (!run.relay.IsDone()) {
      throw http_call_error(http_call_error::stage::kAnswerBroken,
                            "the stream ended without its final event");
    }
  };
  const auto result = servers_.Run(job, read_events, yield);
  run.attempts += result.attempts;
  if (facts.output_tokens == 0) facts.output_tokens = run.relay.events();
  run.facts.input_tokens += facts.input_tokens;
  run.facts.output_tokens += facts.output_tokens;
  const auto& config = run.table->config();
  run.cost += CostOf(config.versions[*config.FindVersion(job.version)], facts);
  RecordOutcome(run, job.version, std::nullopt);
}

auto chat_handler::AnswerHeaders(const chat_run& run) const -> header_list {
  header_list headers = {{"Lovagedale-Request-Id", run.caller.request_id},
                         {"Lovagedale-Version", run.answered_by}};
  if (run.session) {
    headers.emplace_back("Lovagedale-Session",
                         FormatSessionToken(*run.session, run.owner.name));
  }
  return headers;
}

auto chat_handler::AnswerBuffered(chat_run& run, const buffered_answer& answer)
    -> void {
  // The bill lasts before the answer ends, so every answer has its bill.
  Bill(run, bill_status::kComplete);
  context_.metrics->Observe(
      entry_latency::kWhole,
      static_cast<double>(context_.clock.Now() - run.started));
  if (run.request.stream) {
    run.exchange.StartStream(200, "text/event-stream", AnswerHeaders(run));
    run.exchange.Write(AnswerAsEvents(answer.body));
    run.exchange.Write(kEndOfStream);
    run.exchange.EndStream();
  } else {
    run.exchange.RespondJson(200, answer.body, AnswerHeaders(run));
  }
  MaybeRate(run, run.answered_by, answer.facts.text, answer.facts.signal);
}

auto chat_handler::EndStream(chat_run& run) -> void {
  Bill(run, bill_status::kComplete);
  if (!run.stream_started) {
    run.exchange.StartStream(200, "text/event-stream", AnswerHeaders(run));
  }
  run.exchange.Write(kEndOfStream);
  run.exchange.EndStream();
  const auto now = context_.clock.Now();
  context_.metrics->Observe(entry_latency::kWhole,
                            static_cast<double>(now - run.started));
  context_.metrics->Observe(
      entry_latency::kFirstByte,
      static_cast<double>(run.first_byte_at.value_or(now) - run.started));
  MaybeRate(run, run.answered_by, TextOfEvents(run.delivered), std::nullopt);
}

auto chat_handler::Bill(chat_run& run, bill_status status) -> void {
  bill_record bill;
  bill.request_id = run.caller.request_id;
  bill.customer = run.owner.name;
  bill.version = run.answered_by;
  bill.input_tokens = run.facts.input_tokens;
  bill.output_tokens = run.facts.output_tokens;
  bill.cost = run.cost;
  bill.attempts = run.attempts;
  bill.status = status;
  bill.entry = context_.state.settings.name;
  bill.at_ms = WallClockMs();
  run.billed = true;
  const auto before = context_.clock.Now();
  if (!context_.ledgers.StoreBill(bill, kBillTimeout, run.exchange.yield())) {
    context_.metrics->Count(entry_counter::kBillsDelayed);
    log_line(log_level::kWarning, "bill_delayed")
        .With("request", bill.request_id);
  }
  context_.metrics->Observe(entry_latency::kBill,
                            static_cast<double>(context_.clock.Now() - before));
}

auto chat_handler::KeyOf(const chat_run& run, const std::string& version,
                         std::optional<double> signal) const -> evidence_key {
  if (!run.rejected_version.empty()) {
    return {version, EscalatedClass(run.task_class, run.rejected_version),
            run.rejected_bin};
  }
  return {version, run.task_class, signal ? SignalBin(*signal) : kNoSignal};
}

auto chat_handler::RecordOutcome(const chat_run& run,
                                 const std::string& version,
                                 std::optional<double> signal) -> void {
  context_.state.evidence.Add(KeyOf(run, version, signal), {.requests = 1});
}

auto chat_handler::RatingRequest(const chat_run& run,
                                 const std::string& version,
                                 const std::string& answer) -> http_request {
  http_request request;
  request.method = "POST";
  request.target = "/v1/ratings";
  request.headers = {{"Content-Type", "application/json"}};
  request.body =
      json::serialize(json::value{{"request_id", run.caller.request_id},
                                  {"customer", run.owner.name},
                                  {"task_class", run.task_class},
                                  {"version", version},
                                  {"prompt", run.request.prompt},
                                  {"answer", answer}});
  return request;
}

auto chat_handler::AskRating(const chat_run& run, const std::string& version,
                             const std::string& answer, const evidence_key& key,
                             asio::yield_context yield)
    -> std::optional<double> {
  const auto rating = run.table->config().rating;
  if (!rating) return std::nullopt;
  return SendRating(rating->host, rating->port,
                    RatingRequest(run, version, answer), key, yield);
}

auto chat_handler::SendRating(const std::string& host, std::uint16_t port,
                              const http_request& request,
                              const evidence_key& key,
                              asio::yield_context yield)
    -> std::optional<double> {
  try {
    const auto reply =
        HttpCall(context_.io, host, port, request, kRatingDeadlines, yield);
    const auto value = json::parse(reply.body);
    const auto score = value.at("score").to_number<double>();
    context_.state.evidence.Add(key, {.ratings = 1,
                                      .rating_sum = score,
                                      .rating_square_sum = score * score});
    context_.metrics->Count(entry_counter::kRatings);
    return score;
  } catch (const std::exception& error) {
    log_line(log_level::kDebug, "rating_failed").With("reason", error.what());
    return std::nullopt;
  }
}

auto chat_handler::MaybeRate(const chat_run& run, const std::string& version,
                             const std::string& answer,
                             std::optional<double> signal) -> void {
  const auto& rating = run.table->config().rating;
  if (!rating || run.was_rated) return;
  const auto id = run.table->config().FindVersion(version);
  const bool is_rollout =
      id && run.table->Route(*id).phase == version_phase::kRollout;
  const auto draw = UnitInterval(HashFields(run.caller.request_id, "rating"));
  if (!is_rollout && !run.explores && draw >= run.rating_share) return;
  const auto now = context_.clock.Now();
  const auto sharers = static_cast<double>(
      std::max<std::uint32_t>(context_.state.live_entries, 1) *
      context_.state.settings.traffic_threads);
  const auto rate = rating->ratings_per_s / sharers;
  context_.ratings.SetLimit(rate, std::max(1.0, rate * kRatingBurstSeconds),
                            now);
  if (!context_.ratings.TryTake(now)) return;
  asio::spawn(
      context_.io,
      [this, request = RatingRequest(run, version, answer),
       key = KeyOf(run, version, signal), host = rating->host,
       port = rating->port](asio::yield_context yield) {
        SendRating(host, port, request, key, yield);
      },
      asio::detached);
}

}  // namespace lovagedale
