#include "lovagedale/ledger/service.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/common/time.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::milliseconds kExchangePeriod{100};
constexpr std::chrono::milliseconds kExchangeTimeout{2'000};
constexpr std::chrono::milliseconds kClaimExpiryPeriod{10'000};
/// Entries and ledgers that sent a heartbeat or an answer within this time
/// count as running.
constexpr monotonic_ms kPresenceTimeoutMs = 2'000;
/// Ledgers that are stopped together are assumed to receive their signals
/// within this time.
constexpr monotonic_ms kConcurrentStopMs = 1'000;
constexpr std::size_t kExchangePageRecords = 2'000;
constexpr std::chrono::milliseconds kCheckpointPeriod{2'000};
/// Claims and their stored answers are kept this long.
constexpr std::int64_t kClaimRetentionMs = 6LL * 60 * 60 * 1'000;
/// Approximate number of bills in one answer to an operator.
constexpr std::uint64_t kBillsPerReportPart = 50'000;
constexpr std::uint32_t kMaxReportParts = 1'000'000;
constexpr std::chrono::milliseconds kReportTimeout{60'000};

auto WrapEnvelope(const replica_envelope& envelope) -> std::string {
  return Encode(ledger_request(envelope));
}

auto StatusName(bill_status status) -> const char* {
  return status == bill_status::kComplete ? "complete" : "partial";
}

auto ReportJson(const std::vector<bill_record>& bills, const bill_query& query)
    -> std::string {
  json::array rows;
  for (const auto& bill : bills) {
    rows.push_back({{"request_id", bill.request_id},
                    {"customer", bill.customer},
                    {"version", bill.version},
                    {"input_tokens", bill.input_tokens},
                    {"output_tokens", bill.output_tokens},
                    {"cost_micros", bill.cost_micros},
                    {"attempts", bill.attempts},
                    {"status", StatusName(bill.status)},
                    {"entry", bill.entry},
                    {"at_ms", bill.at_ms}});
  }
  return json::serialize(json::value{{"part", query.part},
                                     {"parts", query.parts},
                                     {"bills", std::move(rows)}});
}

auto ParseNumber(std::string_view text, std::uint32_t fallback)
    -> std::optional<std::uint32_t> {
  if (text.empty()) return fallback;
  std::uint32_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

/// The bills as JSON or the reason why they could not be read, set by the
/// reader thread.
struct report_result {
  std::string json;
  std::string failure;
};

}  // namespace

ledger_service::ledger_service(asio::io_context& context,
                               replica_settings settings, log_store& store,
                               bill_store& bills)
    : context_(context),
      settings_(std::move(settings)),
      bills_(bills),
      node_(context, settings_.name, settings_.replicas, settings_.replication,
            store, claims_, WrapEnvelope),
      server_(context, settings_.host, settings_.rpc_port,
              [this](std::string body, rpc_reply reply) {
                HandleRpc(body, reply);
              }) {
  for (const auto& peer : settings_.replicas) {
    if (peer.name == settings_.name) continue;
    peers_[peer.name].channel = std::make_unique<rpc_channel>(context, peer);
    const auto recovered = bills_.recovered_progress().find(peer.name);
    progress_[peer.name] = recovered == bills_.recovered_progress().end()
                               ? exchange_progress{}
                               : recovered->second;
  }
}

auto ledger_service::Start() -> void {
  node_.Start();
  for (auto& [name, peer] : peers_) {
    SpawnTask(context_,
              [this, &name = name, &peer = peer](asio::yield_context yield) {
                ExchangeLoop(name, peer, yield);
              });
  }
  SpawnTask(context_,
            [this](asio::yield_context yield) { CheckpointLoop(yield); });
  SpawnTask(context_,
            [this](asio::yield_context yield) { ExpireClaimsLoop(yield); });
  log_line(log_level::kInfo, "ledger_started")
      .With("name", settings_.name)
      .With("zone", settings_.zone)
      .With("bill_records", bills_.record_count())
      .With("claims", claims_.size());
}

auto ledger_service::BeginStop() -> void {
  stopping_ = true;
  stopping_since_ms_ = clock_.Now();
  node_.TransferLeadership();
  SaveCheckpoint();
}

auto ledger_service::MayStop() const -> bool {
  const auto presence_cutoff_ms = clock_.Now() - kPresenceTimeoutMs;
  // When the whole fleet is stopped, the other ledgers receive their signals at
  // about the same time, so only a later answer that does not report stopping
  // shows that a ledger keeps running.
  const auto concurrent_stop_end_ms = stopping_since_ms_ + kConcurrentStopMs;
  const bool has_successor =
      std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        return !item.second.stopping &&
               item.second.answered_at_ms > presence_cutoff_ms &&
               item.second.answered_at_ms > concurrent_stop_end_ms;
      });
  const bool has_entries = std::any_of(
      entry_last_seen_ms_.begin(), entry_last_seen_ms_.end(),
      [&](const auto& item) { return item.second > presence_cutoff_ms; });
  return queued_batches_.empty() && (has_successor || !has_entries);
}

auto ledger_service::HandleRpc(const std::string& body, const rpc_reply& reply)
    -> void {
  auto request = Decode<ledger_request>(body);
  if (const auto* envelope = std::get_if<replica_envelope>(&request)) {
    node_.Receive(*envelope);
  } else if (const auto* claim = std::get_if<claim_request>(&request)) {
    HandleClaim(*claim, reply);
  } else if (const auto* presence = std::get_if<entry_presence>(&request)) {
    entry_last_seen_ms_[presence->entry] = clock_.Now();
  } else if (auto* batch = std::get_if<bill_batch>(&request)) {
    QueueBills(std::move(*batch), reply);
  } else {
    const auto& page_request = std::get<exchange_request>(request);
    reply(Encode(exchange_response{
        bills_.ReadPage(page_request.source, page_request.from,
                        kExchangePageRecords),
        stopping_}));
  }
}

auto ledger_service::HandleClaim(const claim_request& request,
                                 const rpc_reply& reply) -> void {
  const auto& leader = node_.core().leader();
  // An isolated leader loses its lease and cannot commit; answer immediately,
  // so that callers do not wait for it.
  if (!node_.HasLease()) {
    reply(Encode(claim_response{claim_outcome::kNotLeader, leader, {}}));
    return;
  }
  node_.Propose(Encode(request.command), [this,
                                          reply](const propose_result& result) {
    claim_response response{claim_outcome::kUnknown, node_.core().leader(), {}};
    if (result.status == propose_status::kCommitted) {
      response.outcome = claim_outcome::kDecided;
      response.result = Decode<claim_result>(result.result);
    } else if (result.status == propose_status::kNotLeader) {
      response.outcome = claim_outcome::kNotLeader;
    }
    reply(Encode(response));
  });
}

auto ledger_service::QueueBills(bill_batch batch, const rpc_reply& reply)
    -> void {
  queued_batches_.push_back({std::move(batch.records), reply});
  if (store_scheduled_) return;
  store_scheduled_ = true;
  // Deferred, so that all batches that are ready now share one sync.
  asio::post(context_, [this] { StoreQueuedBills(); });
}

auto ledger_service::StoreQueuedBills() -> void {
  store_scheduled_ = false;
  auto queued = std::move(queued_batches_);
  queued_batches_.clear();
  std::vector<bill_record> records;
  for (auto& item : queued) {
    records.insert(records.end(), item.records.begin(), item.records.end());
  }
  bills_.Add(records);
  for (const auto& item : queued) item.reply("");
}

auto ledger_service::ExchangeLoop(const std::string& name, peer_state& peer,
                                  asio::yield_context yield) -> void {
  for (;;) {
    bool is_behind = ExchangePage(name, peer, bill_source::kEntry, yield);
    if (!progress_[name].HasReadStoreJournal()) {
      is_behind |= ExchangePage(name, peer, bill_source::kOtherStore, yield);
    }
    if (!is_behind) Pause(context_.get_executor(), kExchangePeriod, yield);
  }
}

auto ledger_service::ExchangePage(const std::string& name, peer_state& peer,
                                  bill_source source, asio::yield_context yield)
    -> bool {
  auto& progress = progress_[name];
  try {
    const auto response = Decode<exchange_response>(
        peer.channel->Call(Encode(ledger_request(exchange_request{
                               source, progress.PositionOf(source)})),
                           kExchangeTimeout, yield));
    peer.stopping = response.stopping;
    peer.answered_at_ms = clock_.Now();
    return bills_.AddPage(response.page, source, progress);
  } catch (const rpc_error&) {
    // The peer is down or unreachable; the next exchange reads its records.
  } catch (const codec_error& error) {
    log_line(log_level::kWarning, "exchange_response_invalid")
        .With("peer", name)
        .With("reason", error.what());
  }
  return false;
}

auto ledger_service::CheckpointLoop(asio::yield_context yield) -> void {
  for (;;) {
    Pause(context_.get_executor(), kCheckpointPeriod, yield);
    if (progress_ != saved_progress_) SaveCheckpoint();
  }
}

auto ledger_service::SaveCheckpoint() -> void {
  bills_.SaveCheckpoint(progress_);
  saved_progress_ = progress_;
}

auto ledger_service::HasAllBills() const -> bool {
  return std::all_of(progress_.begin(), progress_.end(),
                     [](const auto& item) { return item.second.IsRepaired(); });
}

auto ledger_service::ExpireClaimsLoop(asio::yield_context yield) -> void {
  asio::steady_timer timer(context_);
  boost::system::error_code ignored;
  for (;;) {
    timer.expires_after(kClaimExpiryPeriod);
    timer.async_wait(yield[ignored]);
    if (!node_.HasLease() || claims_.size() == 0) continue;
    node_.Propose(
        Encode(claim_command(expire_claims{WallClockMs() - kClaimRetentionMs})),
        [](const propose_result&) {});
  }
}

auto ledger_service::HandleHttp(http_exchange& exchange) -> void {
  const auto path = exchange.request().Path();
  if (path == "/health") return exchange.RespondJson(200, R"({"ok":true})");
  if (path == "/ready") {
    const bool ready = !node_.core().leader().empty();
    return exchange.RespondJson(
        ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})");
  }
  if (path == "/v1/status") return HandleStatus(exchange);
  if (path == "/v1/bills") return HandleBills(exchange);
  exchange.RespondJson(404, R"({"error":{"type":"not_found"}})");
}

auto ledger_service::HandleStatus(http_exchange& exchange) -> void {
  json::array members;
  for (const auto& member : node_.core().members().members) {
    members.push_back({{"name", member.name}, {"voter", member.voter}});
  }
  exchange.RespondJson(
      200, json::serialize(json::value{{"name", settings_.name},
                                       {"role", RoleName(node_.core().role())},
                                       {"leader", node_.core().leader()},
                                       {"has_lease", node_.HasLease()},
                                       {"members", std::move(members)},
                                       {"claims", claims_.size()},
                                       {"bill_records", bills_.record_count()},
                                       {"has_all_bills", HasAllBills()}}));
}

auto ledger_service::HandleBills(http_exchange& exchange) -> void {
  const auto& request = exchange.request();
  const auto default_parts = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      bills_.record_count() / kBillsPerReportPart + 1, kMaxReportParts));
  const auto parts = ParseNumber(request.Query("parts"), default_parts);
  const auto part = ParseNumber(request.Query("part"), 0);
  if (!parts || *parts == 0 || *parts > kMaxReportParts || !part ||
      *part >= *parts) {
    return exchange.RespondJson(
        400,
        R"({"error":{"type":"invalid_query","message":"parts: a number from 1 )"
        R"(to 1000000; part: a number from 0 to parts - 1"}})");
  }
  const bill_query query{std::string(request.Query("customer")), *part, *parts};
  auto result = std::make_shared<report_result>();
  const fiber_event read_done(exchange.yield().get_executor());
  asio::post(bill_reader_,
             [this, query, view = bills_.view(), result, read_done] {
               try {
                 result->json = ReportJson(ReadBills(view, query), query);
               } catch (const std::exception& error) {
                 result->failure = error.what();
               }
               // The event may be set only on the service's thread.
               asio::post(context_, [read_done] { read_done.Set(); });
             });
  if (!read_done.Wait(kReportTimeout, exchange.yield())) {
    return exchange.RespondJson(
        503,
        R"({"error":{"type":"timeout","message":"bills not read in 60 s"}})");
  }
  if (!result->failure.empty()) {
    return exchange.RespondJson(
        500,
        json::serialize(json::value{
            {"error", {{"type", "storage"}, {"message", result->failure}}}}));
  }
  exchange.RespondJson(200, result->json);
}

}  // namespace lovagedale
