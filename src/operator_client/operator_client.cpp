#include "lovagedale/operator_client/operator_client.h"

#include <optional>
#include <thread>

#include "lovagedale/common/settings_fields.h"

namespace lovagedale {
namespace {

using std::chrono::milliseconds;

constexpr http_deadlines kDeadlines{milliseconds(500), milliseconds(6'000),
                                    milliseconds(6'000), milliseconds(6'000)};
/// A ledger reads its files to answer a report, which takes longer.
constexpr http_deadlines kLedgerDeadlines{
    milliseconds(500), milliseconds(65'000), milliseconds(6'000),
    milliseconds(65'000)};
/// A ledger's report lists all bills of the period.
constexpr std::size_t kMaxReportBytes = 64UL << 20U;
constexpr milliseconds kRetryPause{100};
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusUnavailable = 503;

auto TryCall(const process_address& address, const std::string& method,
             const std::string& target, const std::string& body,
             const http_deadlines& deadlines = kDeadlines)
    -> std::optional<http_answer> {
  http_request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!body.empty()) request.headers = {{"Content-Type", "application/json"}};
  try {
    return BlockingHttpCall(address.host, address.port, request, deadlines,
                            kMaxReportBytes);
  } catch (const http_call_error&) {
    return std::nullopt;
  }
}

auto CallFirst(const std::vector<process_address>& list,
               const std::string& target, const std::string& kind,
               const http_deadlines& deadlines) -> http_answer {
  for (const auto& address : list) {
    if (auto answer = TryCall(address, "GET", target, "", deadlines)) {
      return *answer;
    }
  }
  throw fleet_unreachable("no " + kind + " answers");
}

}  // namespace

auto ParseOperatorSettings(std::string_view text) -> operator_settings {
  operator_settings settings;
  ReadSettings(text, [&](object_reader& root) {
    settings.control = ReadProcesses(root, "control");
    settings.ledgers = ReadProcesses(root, "ledgers");
    settings.entries = ReadProcesses(root, "entries");
    if (settings.control.empty()) {
      root.AddError("control", "", "at least one control replica");
    }
  });
  return settings;
}

auto operator_client::CallLeader(const std::string& method,
                                 const std::string& target,
                                 const std::string& body, milliseconds timeout)
    -> http_answer {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (;;) {
    for (const auto& address : settings_.control) {
      auto answer = TryCall(address, method, target, body);
      if (answer && answer->head.status != kStatusMisdirected &&
          answer->head.status != kStatusUnavailable) {
        return *answer;
      }
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      throw fleet_unreachable(
          "no control leader answers; the call may be repeated");
    }
    std::this_thread::sleep_for(kRetryPause);
  }
}

auto operator_client::CallAnyControlReplica(const std::string& target)
    -> http_answer {
  return CallFirst(settings_.control, target, "control replica", kDeadlines);
}

auto operator_client::CallAnyLedger(const std::string& target) -> http_answer {
  return CallFirst(settings_.ledgers, target, "ledger", kLedgerDeadlines);
}

auto operator_client::CallEntries(const std::string& target)
    -> std::vector<http_answer> {
  std::vector<http_answer> answers;
  for (const auto& address : settings_.entries) {
    if (auto answer = TryCall(address, "GET", target, "")) {
      answers.push_back(std::move(*answer));
    }
  }
  return answers;
}

}  // namespace lovagedale
