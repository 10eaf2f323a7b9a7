#include "lovagedale/standin/standin.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>

#include "lovagedale/common/hash.h"
#include "lovagedale/common/json_reader.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/settings_fields.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kLimitPath = "/limit";
constexpr std::int64_t kMaxDelayMs = 600'000;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kSlotPollMs = 1;
constexpr int kCrashExitCode = 77;
constexpr double kDefaultGoodFraction = 0.8;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kSilenceMs = 24LL * 3'600 * 1'000;
/// The reported confidence starts at the lower bound for a good or a bad
/// answer; the spread is the width of the interval above the bound.
constexpr double kMinGoodConfidence = 0.55;
constexpr double kMinBadConfidence = 0.15;
constexpr double kConfidenceSpread = 0.4;

auto MarkerNumber(std::string_view text, std::string_view marker)
    -> std::int64_t {
  const auto start = text.find(marker);
  if (start == std::string_view::npos) return -1;
  std::int64_t number = -1;
  const auto digits = text.substr(start + marker.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

auto HasMarker(std::string_view text, std::string_view marker) -> bool {
  return text.find(marker) != std::string_view::npos;
}

/// The fields of a chat request that the stand-in uses.
struct engine_request {
  std::string version;
  std::string prompt;
  std::string delivered_text;  ///< by an earlier server
  bool stream = false;
  bool include_usage = false;
  bool logprobs = false;
};

auto ReadFlag(const json::object& object, std::string_view key) -> bool {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

auto ParseEngineRequest(const std::string& body) -> engine_request {
  const auto value = json::parse(body);
  const auto& object = value.as_object();
  engine_request call;
  call.version = std::string(object.at("model").as_string());
  const bool is_continued = ReadFlag(object, "continue_final_message");
  const auto& messages = object.at("messages").as_array();
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const auto text = std::string(messages[i].at("content").as_string());
    if (is_continued && i + 1 == messages.size()) {
      call.delivered_text = text;
    } else {
      call.prompt += text + "\n";
    }
  }
  call.stream = ReadFlag(object, "stream");
  call.logprobs = ReadFlag(object, "logprobs");
  if (const auto* options = object.if_contains("stream_options")) {
    call.include_usage = ReadFlag(options->as_object(), "include_usage");
  }
  return call;
}

auto TokenUsage(const engine_request& call, std::size_t tokens)
    -> json::object {
  const auto input = call.prompt.size() / kBytesPerToken + 1;
  return {{"prompt_tokens", input},
          {"completion_tokens", tokens},
          {"total_tokens", input + tokens}};
}

auto ChunkEvent(const engine_request& call, const json::object& delta)
    -> std::string {
  return "data: " +
         json::serialize(
             json::value{{"object", "chat.completion.chunk"},
                         {"model", call.version},
                         {"choices", {{{"index", 0}, {"delta", delta}}}}}) +
         "\n\n";
}

}  // namespace

auto ParseStandinSettings(std::string_view text) -> standin_settings {
  standin_settings settings;
  ReadSettings(text, [&](object_reader& root) {
    settings.name = root.RequiredString("name");
    settings.role =
        root.Choice("role", {"engine", "service", "rating", "hosts"}, "");
    if (!root.Has("role")) {
      root.AddError("role", "", "engine, service, rating, hosts");
    }
    settings.host = root.RequiredString("host");
    settings.port = ReadPort(root, "port");
    settings.slots = root.Integer("slots", 1, kMaxTokens, settings.slots);
    settings.first_token_ms =
        root.Integer("first_token_ms", 0, kMaxDelayMs, settings.first_token_ms);
    settings.token_ms =
        root.Integer("token_ms", 0, kMaxDelayMs, settings.token_ms);
    settings.default_tokens =
        root.Integer("default_tokens", 1, kMaxTokens, settings.default_tokens);
    settings.loaded = root.StringList("loaded");
    settings.max_loaded =
        root.Integer("max_loaded", 0, kMaxTokens, settings.max_loaded);
    settings.load_ms =
        root.Integer("load_ms", 0, kMaxDelayMs, settings.load_ms);
    settings.checks_fencing =
        root.Bool("checks_fencing", settings.checks_fencing);
    root.ForEach("quality", [&](object_reader& item) {
      const auto version = item.RequiredString("version");
      settings.good_answer_fraction[version] =
          item.Number("share", 0, 1, kDefaultGoodFraction);
    });
    ReadLogSettings(root, settings.log_file, settings.log_level);
  });
  return settings;
}

auto IsGoodAnswer(const standin_settings& settings, std::string_view version,
                  std::string_view prompt) -> bool {
  const auto found = settings.good_answer_fraction.find(std::string(version));
  const auto fraction = found == settings.good_answer_fraction.end()
                            ? kDefaultGoodFraction
                            : found->second;
  // The hash leaves the version out: a prompt that a version answers badly is
  // answered badly by every version with a lower fraction too.
  return ToUnitInterval(HashFields(prompt, "difficulty")) < fraction;
}

auto StandinAnswer(std::string_view version, std::string_view prompt,
                   std::int64_t tokens) -> std::vector<std::string> {
  std::vector<std::string> answer;
  const auto seed = HashFields(version, prompt);
  for (std::int64_t i = 0; i < tokens; ++i) {
    answer.push_back(
        "w" +
        ToHex(MixBits(seed + static_cast<std::uint64_t>(i))).substr(0, 6) +
        " ");
  }
  return answer;
}

standin::standin(asio::io_context& context, standin_settings settings)
    : context_(context),
      settings_(std::move(settings)),
      loaded_(settings_.loaded.begin(), settings_.loaded.end()) {}

auto standin::Pause(std::int64_t ms, http_exchange& exchange) -> void {
  if (ms <= 0) return;
  asio::steady_timer timer(context_, std::chrono::milliseconds(ms));
  boost::system::error_code ignored;
  timer.async_wait(exchange.yield()[ignored]);
}

auto standin::WaitForSlot(http_exchange& exchange) -> void {
  ++waiting_;
  while (running_ >= settings_.slots) Pause(kSlotPollMs, exchange);
  --waiting_;
  ++running_;
}

auto standin::Handle(http_exchange& exchange) -> void {
  const auto path = exchange.request().Path();
  if (path == "/load") {
    HandleLoad(exchange);
    return;
  }
  if (settings_.role == "hosts") {
    HandleHosts(exchange);
    return;
  }
  if (path == "/orders" && settings_.role == "engine") {
    HandleOrder(exchange);
    return;
  }
  if (path.starts_with(kLimitPath) && settings_.role == "engine") {
    HandleLimit(exchange);
    return;
  }
  if (path == "/record") {
    HandleRecord(exchange);
    return;
  }
  if (leaving_) {
    exchange.RespondJson(
        503, R"({"error":{"type":"leaving"}})",
        {{"Lovagedale-Ran", "no"}, {"Lovagedale-Leaving", "true"}});
    return;
  }
  if (settings_.role == "rating") {
    HandleRating(exchange);
  } else if (settings_.role == "service") {
    HandleService(exchange);
  } else {
    HandleChat(exchange);
  }
}

auto standin::IsLoaded(const std::string& version) const -> bool {
  return settings_.max_loaded == 0 || loaded_.contains(version);
}

auto standin::HandleLoad(http_exchange& exchange) -> void {
  json::object load = {
      {"running", running_}, {"waiting", waiting_}, {"leaving", leaving_}};
  if (settings_.max_loaded > 0) {
    load["versions"] = json::array(loaded_.begin(), loaded_.end());
    load["loading"] = json::array(loading_.begin(), loading_.end());
    load["fence"] = highest_fencing_number_;
  }
  exchange.RespondJson(200, json::serialize(load));
}

auto standin::HandleOrder(http_exchange& exchange) -> void {
  const auto value = json::parse(exchange.request().body);
  const auto fence = value.at("fence").to_number<std::uint64_t>();
  const auto action = std::string(value.at("action").as_string());
  const auto version = std::string(value.at("version").as_string());
  if (settings_.checks_fencing && fence < highest_fencing_number_) {
    exchange.RespondJson(409, R"({"error":{"type":"old_fence"}})");
    return;
  }
  highest_fencing_number_ = std::max(highest_fencing_number_, fence);
  if (action == "unload") {
    loaded_.erase(version);
    exchange.RespondJson(200, R"({"ok":true})");
    return;
  }
  const auto occupied = loaded_.size() + loading_.size();
  if (static_cast<std::int64_t>(occupied) >= settings_.max_loaded) {
    exchange.RespondJson(409, R"({"error":{"type":"full"}})");
    return;
  }
  ++call_counts_["load " + version];
  loading_.insert(version);
  exchange.RespondJson(202, R"({"ok":true})");
  asio::spawn(
      context_,
      [this, version](asio::yield_context yield) {
        asio::steady_timer timer(context_,
                                 std::chrono::milliseconds(settings_.load_ms));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        if (loading_.erase(version) > 0) loaded_.insert(version);
      },
      asio::detached);
}

auto standin::HandleChat(http_exchange& exchange) -> void {
  const auto call = ParseEngineRequest(exchange.request().body);
  if (!IsLoaded(call.version)) {
    exchange.RespondJson(503, R"({"error":{"type":"not_loaded"}})",
                         {{"Lovagedale-Ran", "no"}});
    return;
  }
  if (HasMarker(call.prompt, "[crash]")) std::_Exit(kCrashExitCode);
  arrivals_.Add(clock_.Now());
  WaitForSlot(exchange);
  struct slot_release {
    std::int64_t& running;
    ~slot_release() { --running; }
  } release{running_};
  ++call_counts_[call.version];
  if (HasMarker(call.prompt, "[silent]")) Pause(kSilenceMs, exchange);
  auto tokens = MarkerNumber(call.prompt, "[tokens:");
  if (tokens < 0) tokens = settings_.default_tokens;
  const auto answer = StandinAnswer(call.version, call.prompt, tokens);
  // A continued answer starts after the words that were already delivered.
  std::size_t first = 0;
  std::size_t matched = 0;
  while (first < answer.size() && matched < call.delivered_text.size()) {
    matched += answer[first++].size();
  }
  Pause(settings_.first_token_ms, exchange);
  if (call.stream) {
    const auto cut_after = MarkerNumber(call.prompt, "[cut-after:");
    exchange.StartStream(200, "text/event-stream", LimitHeaders());
    for (auto i = first; i < answer.size(); ++i) {
      if (cut_after >= 0 && call.delivered_text.empty() &&
          static_cast<std::int64_t>(i) >= cut_after) {
        throw caller_disconnected_error("the prompt asked for a cut stream");
      }
      exchange.Write(ChunkEvent(call, {{"content", answer[i]}}));
      Pause(settings_.token_ms, exchange);
    }
    if (call.include_usage) {
      exchange.Write("data: " +
                     json::serialize(json::value{
                         {"object", "chat.completion.chunk"},
                         {"choices", json::array{}},
                         {"usage", TokenUsage(call, answer.size())}}) +
                     "\n\n");
    }
    exchange.Write("data: [DONE]\n\n");
    exchange.EndStream();
    return;
  }
  Pause(settings_.token_ms * static_cast<std::int64_t>(answer.size()),
        exchange);
  std::string text;
  for (const auto& word : answer) text += word;
  const bool good = IsGoodAnswer(settings_, call.version, call.prompt);
  const auto draw =
      ToUnitInterval(HashFields(call.version, call.prompt, "confidence"));
  const auto confidence = (good ? kMinGoodConfidence : kMinBadConfidence) +
                          kConfidenceSpread * draw;
  json::object choice = {
      {"index", 0},
      {"finish_reason", "stop"},
      {"message", {{"role", "assistant"}, {"content", text}}}};
  if (call.logprobs) {
    choice["logprobs"] = {
        {"content", {{{"token", "w"}, {"logprob", std::log(confidence)}}}}};
  }
  json::array choices;
  choices.emplace_back(std::move(choice));
  exchange.RespondJson(
      200,
      json::serialize(json::value{{"object", "chat.completion"},
                                  {"model", call.version},
                                  {"choices", std::move(choices)},
                                  {"usage", TokenUsage(call, answer.size())}}),
      LimitHeaders());
}

auto standin::HandleService(http_exchange& exchange) -> void {
  const auto& request = exchange.request();
  if (HasMarker(request.body, "[crash-before]")) std::_Exit(kCrashExitCode);
  WaitForSlot(exchange);
  struct slot_release {
    std::int64_t& running;
    ~slot_release() { --running; }
  } release{running_};
  const auto order = std::string(request.Header("Order-Id"));
  if (!order.empty()) ++call_counts_[order];
  if (HasMarker(request.body, "[crash]")) std::_Exit(kCrashExitCode);
  if (HasMarker(request.body, "[silent]")) Pause(kSilenceMs, exchange);
  Pause(settings_.first_token_ms, exchange);
  exchange.RespondJson(
      200, json::serialize(json::value{{"service", settings_.name},
                                       {"method", request.method},
                                       {"path", request.target},
                                       {"order", order},
                                       {"times", call_counts_[order]}}));
}

auto standin::HandleRating(http_exchange& exchange) -> void {
  const auto value = json::parse(exchange.request().body);
  const auto version = std::string(value.at("version").as_string());
  const auto prompt = std::string(value.at("prompt").as_string());
  const bool good = IsGoodAnswer(settings_, version, prompt);
  exchange.RespondJson(200,
                       json::serialize(json::value{{"score", good ? 1 : 0}}));
}

auto standin::HandleHosts(http_exchange& exchange) -> void {
  const auto path = std::string(exchange.request().Path());
  constexpr std::string_view kPrefix = "/hosts/";
  if (exchange.request().method == "POST" && path.starts_with(kPrefix)) {
    const auto slash = path.rfind('/');
    host_states_[path.substr(kPrefix.size(), slash - kPrefix.size())] =
        path.substr(slash + 1);
  }
  json::array list;
  for (const auto& [name, state] : host_states_) {
    list.push_back(json::object{{"name", name}, {"state", state}});
  }
  exchange.RespondJson(
      200, json::serialize(json::value{{"hosts", std::move(list)}}));
}

auto standin::HandleLimit(http_exchange& exchange) -> void {
  const auto path = exchange.request().Path();
  if (exchange.request().method == "POST" && path.size() > kLimitPath.size()) {
    limit_ = std::string(path.substr(kLimitPath.size() + 1));
    if (limit_ == "0") limit_.clear();
    arrivals_.CountFrom(clock_.Now() + kLimitSettleMs);
  }
  exchange.RespondJson(
      200, json::serialize(json::value{{"total", arrivals_.total()},
                                       {"most_in_window", arrivals_.most()}}));
}

auto standin::LimitHeaders() const -> header_list {
  if (limit_.empty()) return {};
  return {{"Server-Limit", limit_}};
}

auto standin::HandleRecord(http_exchange& exchange) -> void {
  json::object counts;
  for (const auto& [name, count] : call_counts_) counts[name] = count;
  exchange.RespondJson(200, json::serialize(counts));
}

}  // namespace lovagedale
