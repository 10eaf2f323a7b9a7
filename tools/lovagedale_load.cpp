// lovagedale-load: sends load to entries and prints the results as JSON.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lovagedale/common/log.h"
#include "lovagedale/load/load_run.h"
#include "lovagedale/process/process.h"

ABSL_FLAG(std::string, targets, "", "ports on 127.0.0.1, such as 8001,8002");
ABSL_FLAG(std::string, kind, "chat", "chat, stream or order");
ABSL_FLAG(std::string, key, "demo-key", "bearer key");
ABSL_FLAG(std::string, model, "auto", "model of chat requests");
ABSL_FLAG(std::string, prompt, "question", "text of each request");
ABSL_FLAG(std::string, path, "/services/cart-ledger/orders", "path of orders");
ABSL_FLAG(std::string, id_prefix, "load", "prefix of each request's id");
ABSL_FLAG(int64_t, tokens, 20, "number of tokens of each answer");
ABSL_FLAG(uint32_t, concurrency, 1, "maximum number of concurrent requests");
ABSL_FLAG(uint32_t, threads, 1, "number of sender threads");
ABSL_FLAG(uint64_t, requests, 0, "number of requests; 0 runs for --seconds");
ABSL_FLAG(double, seconds, 1, "duration of the run");
ABSL_FLAG(double, rate, 0,
          "requests per second; 0 sends after the previous answer");
ABSL_FLAG(int, resends, 0, "maximum retries of a request");
ABSL_FLAG(bool, verify, true, "compare answers with the stand-in's");
ABSL_FLAG(std::string, records, "", "output file with one line per request");

namespace {

using namespace lovagedale;  // NOLINT: a program's main file.

auto ReadTargets() -> std::vector<process_address> {
  std::vector<process_address> targets;
  std::istringstream in(absl::GetFlag(FLAGS_targets));
  std::string port;
  while (std::getline(in, port, ',')) {
    targets.push_back({"target-" + port, "127.0.0.1",
                       static_cast<std::uint16_t>(std::stoi(port)), ""});
  }
  if (targets.empty()) {
    throw std::invalid_argument("--targets: missing; allowed: ports");
  }
  return targets;
}

auto ReadKind() -> load_kind {
  const auto kind = absl::GetFlag(FLAGS_kind);
  if (kind == "chat") return load_kind::kChat;
  if (kind == "stream") return load_kind::kStream;
  if (kind == "order") return load_kind::kOrder;
  throw std::invalid_argument("--kind: got \"" + kind +
                              "\"; allowed: chat, stream, order");
}

auto ReadOptions() -> load_options {
  load_options options;
  options.targets = ReadTargets();
  options.kind = ReadKind();
  options.bearer_key = absl::GetFlag(FLAGS_key);
  options.model = absl::GetFlag(FLAGS_model);
  options.prompt = absl::GetFlag(FLAGS_prompt);
  options.order_path = absl::GetFlag(FLAGS_path);
  options.id_prefix = absl::GetFlag(FLAGS_id_prefix);
  options.answer_tokens = absl::GetFlag(FLAGS_tokens);
  options.concurrency = absl::GetFlag(FLAGS_concurrency);
  options.threads = absl::GetFlag(FLAGS_threads);
  options.requests = absl::GetFlag(FLAGS_requests);
  options.seconds = absl::GetFlag(FLAGS_seconds);
  options.requests_per_second = absl::GetFlag(FLAGS_rate);
  options.resends = absl::GetFlag(FLAGS_resends);
  options.verify = absl::GetFlag(FLAGS_verify);
  return options;
}

/// Set by the SIGTERM handler, hence lock-free.
std::atomic<bool> stop_requested{false};
static_assert(std::atomic<bool>::is_always_lock_free);

auto WriteRecords(const load_report& report, const std::string& path) -> void {
  std::ofstream out(path);
  for (const auto& record : report.records) {
    out << record.id << " answered=" << record.answered
        << " said_not_run=" << record.said_not_run
        << " maybe_run=" << record.maybe_run << " tries=" << record.tries
        << "\n";
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  absl::SetProgramUsageMessage(
      "Sends chat requests or orders to entries on loopback and prints a "
      "report as JSON. SIGTERM ends the run early, once the requests in "
      "progress have ended.");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("lovagedale-load " LOVAGEDALE_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { stop_requested = true; });
  InitializeLogging("load", "", log_level::kError);
  try {
    const auto report = RunLoad(ReadOptions(), stop_requested);
    std::cout << report.ToJson() << "\n";
    const auto records = absl::GetFlag(FLAGS_records);
    if (!records.empty()) WriteRecords(report, records);
    return kExitOk;
  } catch (const std::exception& error) {
    std::cerr << "lovagedale-load: " << error.what() << "\n";
    return kExitBadSettings;
  }
}
