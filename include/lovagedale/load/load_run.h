#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// What a load run sends.
enum class load_kind {
  kChat,    ///< whole answers
  kStream,  ///< streamed answers
  kOrder,   ///< keyed non-repeatable calls of a plain service
};

struct load_options {
  std::vector<process_address> targets;  ///< tried in turn, as a balancer does
  load_kind kind = load_kind::kChat;
  std::string key;  ///< bearer key
  std::string model = "auto";
  std::string prompt = "question";
  std::string path;  ///< of the orders
  std::string id_prefix = "load";
  std::int64_t tokens = 20;
  std::size_t concurrency = 1;
  std::size_t threads = 1;
  /// Ends after this many requests, or this time if it is 0.
  std::uint64_t requests = 0;
  double seconds = 1;
  /// Requests a second, sent whether or not earlier ones are answered; 0
  /// sends each worker's next request after its answer.
  double rate = 0;
  /// Times that a request is sent again after a refusal or a lost answer.
  int resends = 0;
  /// Whether answers are compared with the stand-in's text.
  bool verify = true;
};

/// One request's end.
struct load_record {
  std::string id;
  bool answered = false;
  bool said_not_run = false;  ///< its last refusal said "not run"
  bool maybe_run = false;     ///< some try ended without saying "not run"
  std::uint32_t tries = 0;

  auto operator==(const load_record&) const -> bool = default;
};

struct load_report {
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t refused_maybe = 0;
  std::uint64_t cut = 0;     ///< tries whose answer began and did not end
  std::uint64_t wrong = 0;   ///< an answer that is not this request's own
  std::uint64_t failed = 0;  ///< no answer at all
  double seconds = 0;
  std::vector<double> whole_ms;       ///< latencies of whole answers, sorted
  std::vector<double> first_byte_ms;  ///< sorted
  std::vector<load_record> records;

  auto Quantile(const std::vector<double>& sorted, double q) const -> double;
  auto ToJson() const -> std::string;
};

/// Runs the load and returns what came of it. Ends early once `stop` is true:
/// requests under way are finished, no further ones begin. Blocks.
auto RunLoad(const load_options& options, const std::atomic<bool>& stop)
    -> load_report;

}  // namespace lovagedale
