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
constexpr milliseconds kRetryDelay{50};
constexpr unsigned kStatusOk = 200;

auto ElapsedMs(clock::time_point start) -> double {
  return std::chrono::duration<double, std::milli>(clock::now() - start)
      .count();
}

/// The outcome of one try of a request.
enum class try_result { kAnswered, kNotRun, kMaybeRun, kCut, kWrong, kFailed };

/// Sends requests one after another over one connection.
class load_worker {
 public:
  load_worker(asio::io_context& context, const load_options& options,
              std::atomic<std::uint64_t>& next_request,
              const std::atomic<bool>& stop, clock::time_point start)
      : context_(context),
        options_(options),
        next_request_(next_request),
        stop_(stop),
        start_(start) {}

  auto Run(asio::yield_context yield) -> void {
    for (;;) {
      const auto request_index = next_request_.fetch_add(1);
      if (IsFinished(request_index)) return;
      WaitUntilDue(request_index, yield);
      RunRequest(request_index, yield);
    }
  }

  load_report report;

 private:
  auto IsFinished(std::uint64_t request_index) const -> bool {
    if (stop_) return true;
    if (options_.requests > 0) return request_index >= options_.requests;
    return ElapsedMs(start_) >= options_.seconds * 1'000;
  }

  auto WaitUntilDue(std::uint64_t request_index, asio::yield_context yield)
      -> void {
    if (options_.requests_per_second <= 0) return;
    const auto due =
        start_ +
        std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(static_cast<double>(request_index) /
                                          options_.requests_per_second));
    asio::steady_timer timer(context_, due);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
  }

  auto RunRequest(std::uint64_t request_index, asio::yield_context yield)
      -> void {
    load_record record;
    record.id = options_.id_prefix + "-" + std::to_string(request_index);
    auto result = try_result::kFailed;
    for (int attempt = 0; attempt <= options_.resends; ++attempt) {
      if (attempt > 0) WaitBeforeRetry(yield);
      ++record.tries;
      result = TryOnce(record.id,
                       request_index + static_cast<unsigned>(attempt), yield);
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

  auto WaitBeforeRetry(asio::yield_context yield) -> void {
    asio::steady_timer timer(context_, kRetryDelay);
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
      case try_result::kMaybeRun:
        ++report.refused_maybe;
        break;
      case try_result::kCut:
        break;  // RunRequest counts each try.
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
    request.headers = {{"Authorization", "Bearer " + options_.bearer_key},
                       {"Content-Type", "application/json"}};
    if (options_.kind == load_kind::kOrder) {
      request.target = options_.order_path;
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
           " [tokens:" + std::to_string(options_.answer_tokens) + "]";
  }

  auto TryOnce(const std::string& id, std::uint64_t target_index,
               asio::yield_context yield) -> try_result {
    const auto& target =
        options_.targets[target_index % options_.targets.size()];
    const auto started = clock::now();
    http_response_head head;
    std::string body;
    try {
      if (!connection_ || connected_port_ != target.port ||
          connection_->IsStale()) {
        connection_ = std::make_unique<http_connection>(context_, target.host,
                                                        target.port);
        connected_port_ = target.port;
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
    return ClassifyAnswer(id, head, body, started);
  }

  auto ReadBody(clock::time_point started, std::string& body,
                asio::yield_context yield) -> void {
    for (;;) {
      const auto chunk = connection_->ReadSome(kDeadlines, yield);
      if (body.empty() && !chunk.empty()) {
        report.first_byte_ms.push_back(ElapsedMs(started));
      }
      if (chunk.empty()) return;
      body += chunk;
    }
  }

  auto ClassifyAnswer(const std::string& id, const http_response_head& head,
                      const std::string& body, clock::time_point started)
      -> try_result {
    if (head.status != kStatusOk) {
      return head.Header("Lovagedale-Ran") == "no" ? try_result::kNotRun
                                                   : try_result::kMaybeRun;
    }
    if (options_.kind == load_kind::kStream &&
        !body.ends_with("data: [DONE]\n\n")) {
      return try_result::kCut;
    }
    report.total_ms.push_back(ElapsedMs(started));
    return !options_.verify || IsOwnAnswer(id, head, body)
               ? try_result::kAnswered
               : try_result::kWrong;
  }

  /// Whether the answer is complete and belongs to this request.
  auto IsOwnAnswer(const std::string& id, const http_response_head& head,
                   const std::string& body) const -> bool {
    if (options_.kind == load_kind::kOrder) {
      return body.find("\"order\":\"" + id + "\"") != std::string::npos;
    }
    auto version = std::string(head.Header("Lovagedale-Version"));
    if (version.empty()) version = options_.model;
    std::string expected;
    for (const auto& word :
         StandinAnswer(version, PromptOf(id) + "\n", options_.answer_tokens)) {
      expected += word;
    }
    if (options_.kind == load_kind::kStream) {
      return TextOfEvents(body) == expected;
    }
    const auto answer = ParseEngineAnswer(body);
    return answer && answer->text == expected;
  }

  asio::io_context& context_;
  const load_options& options_;
  std::atomic<std::uint64_t>& next_request_;
  const std::atomic<bool>& stop_;
  clock::time_point start_;
  std::unique_ptr<http_connection> connection_;
  std::uint16_t connected_port_ = 0;
};

auto Merge(load_report& total, load_report& worker_report) -> void {
  total.answered += worker_report.answered;
  total.refused_not_run += worker_report.refused_not_run;
  total.refused_maybe += worker_report.refused_maybe;
  total.cut += worker_report.cut;
  total.wrong += worker_report.wrong;
  total.failed += worker_report.failed;
  std::move(worker_report.total_ms.begin(), worker_report.total_ms.end(),
            std::back_inserter(total.total_ms));
  std::move(worker_report.first_byte_ms.begin(),
            worker_report.first_byte_ms.end(),
            std::back_inserter(total.first_byte_ms));
  std::move(worker_report.records.begin(), worker_report.records.end(),
            std::back_inserter(total.records));
}

}  // namespace

auto load_report::Quantile(const std::vector<double>& sorted,
                           double quantile) const -> double {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      std::lround(quantile * static_cast<double>(sorted.size() - 1)));
  return sorted[index];
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
      {"p50_ms", Quantile(total_ms, 0.5)},
      {"p95_ms", Quantile(total_ms, 0.95)},
      {"p99_ms", Quantile(total_ms, 0.99)},
      {"first_byte_p50_ms", Quantile(first_byte_ms, 0.5)},
      {"first_byte_p95_ms", Quantile(first_byte_ms, 0.95)},
      {"first_byte_p99_ms", Quantile(first_byte_ms, 0.99)}});
}

auto RunLoad(const load_options& options, const std::atomic<bool>& stop)
    -> load_report {
  std::atomic<std::uint64_t> next_request{0};
  const auto start = clock::now();
  const auto threads = std::max<std::size_t>(1, options.threads);
  std::vector<load_report> reports(threads);
  std::vector<std::thread> running;
  for (std::size_t t = 0; t < threads; ++t) {
    running.emplace_back([&, t] {
      asio::io_context context(1);
      std::vector<std::unique_ptr<load_worker>> workers;
      for (std::size_t i = t; i < options.concurrency; i += threads) {
        workers.push_back(std::make_unique<load_worker>(
            context, options, next_request, stop, start));
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
  total.seconds = ElapsedMs(start) / 1'000;
  std::sort(total.total_ms.begin(), total.total_ms.end());
  std::sort(total.first_byte_ms.begin(), total.first_byte_ms.end());
  return total;
}

}  // namespace lovagedale
