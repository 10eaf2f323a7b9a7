#include "lovagedale/load/load_run.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <thread>

#include "lovagedale/entry/chat_body.h"
#include "lovagedale/http/client.h"
#include "lovagedale/standin/standin.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr http_deadlines kDeadlines{milliseconds(500), milliseconds(30'000),
                                    milliseconds(30'000)};
constexpr milliseconds kResendPause{50};
constexpr unsigned kStatusOk = 200;

auto MsSince(clock::time_point start) -> double {
  return std::chrono::duration<double, std::milli>(clock::now() - start)
      .count();
}

/// How one try of a request ended.
enum class try_result { kAnswered, kNotRun, kMaybe, kCut, kWrong, kFailed };

/// One connection's worth of callers on one thread.
class load_worker {
 public:
  load_worker(asio::io_context& context, const load_options& options,
              std::atomic<std::uint64_t>& next, const std::atomic<bool>& stop,
              clock::time_point start)
      : context_(context),
        options_(options),
        next_(next),
        stop_(stop),
        start_(start) {}

  auto Run(asio::yield_context yield) -> void {
    for (;;) {
      const auto number = next_.fetch_add(1);
      if (IsOver(number)) return;
      PaceTo(number, yield);
      RunRequest(number, yield);
    }
  }

  load_report report;

 private:
  auto IsOver(std::uint64_t number) const -> bool {
    if (stop_) return true;
    if (options_.requests > 0) return number >= options_.requests;
    return MsSince(start_) >= options_.seconds * 1'000;
  }

  auto PaceTo(std::uint64_t number, asio::yield_context yield) -> void {
    if (options_.rate <= 0) return;
    const auto due =
        start_ + std::chrono::duration_cast<clock::duration>(
                     std::chrono::duration<double>(static_cast<double>(number) /
                                                   options_.rate));
    asio::steady_timer timer(context_, due);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
  }

  auto RunRequest(std::uint64_t number, asio::yield_context yield) -> void {
    load_record record;
    record.id = options_.id_prefix + "-" + std::to_string(number);
    auto result = try_result::kFailed;
    for (int attempt = 0; attempt <= options_.resends; ++attempt) {
      if (attempt > 0) Pause(yield);
      ++record.tries;
      result =
          TryOnce(record.id, number + static_cast<unsigned>(attempt), yield);
      if (result == try_result::kCut) ++report.cut;
      record.said_not_run = result == try_result::kNotRun;
      record.maybe_run |= result != try_result::kNotRun;
      if (result == try_result::kAnswered || result == try_result::kWrong) {
        break;
      }
    }
    record.answered = result == try_result::kAnswered;
    Count(result);
    report.records.push_back(std::move(record));
  }

  auto Pause(asio::yield_context yield) -> void {
    asio::steady_timer timer(context_, kResendPause);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
  }

  auto Count(try_result result) -> void {
    switch (result) {
      case try_result::kAnswered:
        ++report.answered;
        break;
      case try_result::kNotRun:
        ++report.refused_not_run;
        break;
      case try_result::kMaybe:
        ++report.refused_maybe;
        break;
      case try_result::kCut:
        break;  // Counted for each try.
      case try_result::kWrong:
        ++report.wrong;
        break;
      case try_result::kFailed:
        ++report.failed;
        break;
    }
  }

  auto MakeRequest(const std::string& id) const -> http_request {
    http_request request;
    request.method = "POST";
    request.headers = {{"Authorization", "Bearer " + options_.key},
                       {"Content-Type", "application/json"}};
    if (options_.kind == load_kind::kOrder) {
      request.target = options_.path;
      request.headers.emplace_back("Idempotency-Key", id);
      request.headers.emplace_back("Order-Id", id);
      request.body = json::serialize(
          json::value{{"order", id}, {"note", options_.prompt}});
      return request;
    }
    request.target = "/v1/chat/completions";
    request.body = json::serialize(json::value{
        {"model", options_.model},
        {"stream", options_.kind == load_kind::kStream},
        {"messages", json::array{json::object{{"role", "user"},
                                              {"content", PromptOf(id)}}}}});
    return request;
  }

  auto PromptOf(const std::string& id) const -> std::string {
    return options_.prompt + " " + id +
           " [tokens:" + std::to_string(options_.tokens) + "]";
  }

  auto TryOnce(const std::string& id, std::uint64_t target_number,
               asio::yield_context yield) -> try_result {
    const auto& target =
        options_.targets[target_number % options_.targets.size()];
    const auto started = clock::now();
    http_response_head head;
    std::string body;
    try {
      if (!connection_ || connected_to_ != target.port ||
          connection_->IsStale()) {
        connection_ = std::make_unique<http_connection>(context_, target.host,
                                                        target.port);
        connected_to_ = target.port;
        connection_->Connect(kDeadlines, yield);
      }
      head = connection_->Send(MakeRequest(id), kDeadlines, yield);
      ReadBody(started, body, yield);
    } catch (const http_call_error& error) {
      connection_.reset();
      switch (error.failure_stage()) {
        case http_call_error::stage::kNotSent:
          return try_result::kNotRun;
        case http_call_error::stage::kSent:
          return try_result::kFailed;
        case http_call_error::stage::kAnswerBroken:
          return try_result::kCut;
      }
    }
    if (!connection_->IsReusable()) connection_.reset();
    return Judge(id, head, body, started);
  }

  auto ReadBody(clock::time_point started, std::string& body,
                asio::yield_context yield) -> void {
    for (;;) {
      const auto part = connection_->ReadSome(kDeadlines, yield);
      if (body.empty() && !part.empty()) {
        report.first_byte_ms.push_back(MsSince(started));
      }
      if (part.empty()) return;
      body += part;
    }
  }

  auto Judge(const std::string& id, const http_response_head& head,
             const std::string& body, clock::time_point started) -> try_result {
    if (head.status != kStatusOk) {
      return head.Header("Lovagedale-Ran") == "no" ? try_result::kNotRun
                                                   : try_result::kMaybe;
    }
    if (options_.kind == load_kind::kStream &&
        !body.ends_with("data: [DONE]\n\n")) {
      return try_result::kCut;
    }
    report.whole_ms.push_back(MsSince(started));
    return !options_.verify || IsOwnAnswer(id, head, body)
               ? try_result::kAnswered
               : try_result::kWrong;
  }

  /// Whether the answer is the whole one to this very request.
  auto IsOwnAnswer(const std::string& id, const http_response_head& head,
                   const std::string& body) const -> bool {
    if (options_.kind == load_kind::kOrder) {
      return body.find("\"order\":\"" + id + "\"") != std::string::npos;
    }
    auto version = std::string(head.Header("Lovagedale-Version"));
    if (version.empty()) version = options_.model;
    std::string expected;
    for (const auto& word :
         StandinAnswer(version, PromptOf(id) + "\n", options_.tokens)) {
      expected += word;
    }
    if (options_.kind == load_kind::kStream) {
      return TextOfEvents(body) == expected;
    }
    const auto facts = ParseEngineAnswer(body);
    return facts && facts->text == expected;
  }

  asio::io_context& context_;
  const load_options& options_;
  std::atomic<std::uint64_t>& next_;
  const std::atomic<bool>& stop_;
  clock::time_point start_;
  std::unique_ptr<http_connection> connection_;
  std::uint16_t connected_to_ = 0;
};

auto Merge(load_report& total, load_report& part) -> void {
  total.answered += part.answered;
  total.refused_not_run += part.refused_not_run;
  total.refused_maybe += part.refused_maybe;
  total.cut += part.cut;
  total.wrong += part.wrong;
  total.failed += part.failed;
  std::move(part.whole_ms.begin(), part.whole_ms.end(),
            std::back_inserter(total.whole_ms));
  std::move(part.first_byte_ms.begin(), part.first_byte_ms.end(),
            std::back_inserter(total.first_byte_ms));
  std::move(part.records.begin(), part.records.end(),
            std::back_inserter(total.records));
}

}  // namespace

auto load_report::Quantile(const std::vector<double>& sorted, double q) const
    -> double {
  if (sorted.empty()) return 0;
  const auto place = static_cast<std::size_t>(
      std::lround(q * static_cast<double>(sorted.size() - 1)));
  return sorted[place];
}

auto load_report::ToJson() const -> std::string {
  return json::serialize(json::value{
      {"answered", answered},
      {"refused_not_run", refused_not_run},
      {"refused_maybe", refused_maybe},
      {"cut", cut},
      {"wrong", wrong},
      {"failed", failed},
      {"seconds", seconds},
      {"per_second", seconds > 0 ? static_cast<double>(answered) / seconds : 0},
      {"p50_ms", Quantile(whole_ms, 0.5)},
      {"p95_ms", Quantile(whole_ms, 0.95)},
      {"p99_ms", Quantile(whole_ms, 0.99)},
      {"first_byte_p50_ms", Quantile(first_byte_ms, 0.5)},
      {"first_byte_p95_ms", Quantile(first_byte_ms, 0.95)},
      {"first_byte_p99_ms", Quantile(first_byte_ms, 0.99)}});
}

auto RunLoad(const load_options& options, const std::atomic<bool>& stop)
    -> load_report {
  std::atomic<std::uint64_t> next{0};
  const auto start = clock::now();
  const auto threads = std::max<std::size_t>(1, options.threads);
  std::vector<load_report> reports(threads);
  std::vector<std::thread> running;
  for (std::size_t t = 0; t < threads; ++t) {
    running.emplace_back([&, t] {
      asio::io_context context(1);
      std::vector<std::unique_ptr<load_worker>> workers;
      for (std::size_t i = t; i < options.concurrency; i += threads) {
        workers.push_back(
            std::make_unique<load_worker>(context, options, next, stop, start));
        asio::spawn(
            context,
            [worker = workers.back().get()](asio::yield_context yield) {
              worker->Run(yield);
            },
            [](std::exception_ptr failure) {
              if (failure) std::rethrow_exception(failure);
            });
      }
      context.run();
      for (const auto& worker : workers) Merge(reports[t], worker->report);
    });
  }
  for (auto& thread : running) thread.join();
  load_report total;
  for (auto& report : reports) Merge(total, report);
  total.seconds = MsSince(start) / 1'000;
  std::sort(total.whole_ms.begin(), total.whole_ms.end());
  std::sort(total.first_byte_ms.begin(), total.first_byte_ms.end());
  return total;
}

}  // namespace lovagedale
