#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// What a load run sends.
enum class load_kind {
  kChat,    ///< chat requests with unstreamed answers
  kStream,  ///< chat requests with streamed answers
  kOrder,   ///< calls of a plain service with an idempotency key
};

struct load_options {
  std::vector<process_address> targets;  ///< used round-robin
  load_kind kind = load_kind::kChat;
  std::string bearer_key;
  std::string model = "auto";
  std::string prompt = "question";
  std::string order_path;  ///< request path of kOrder
  std::string id_prefix = "load";
  std::int64_t answer_tokens = 20;  ///< length of each answer
  std::size_t concurrency = 1;  ///< workers, each with one request at a time
  std::size_t threads = 1;
  /// The run ends after this many requests or, if it is 0, after `seconds`.
  std::uint64_t requests = 0;
  double seconds = 1;
  /// Target rate of all workers together. Each request has a scheduled time;
  /// a worker that is late sends at once. With 0 each worker sends its next
  /// request as soon as the previous one has ended.
  double requests_per_second = 0;
  /// Maximum number of retries of a request after a refusal or a lost answer.
  int resends = 0;
  /// Whether answers are compared with the text that a stand-in generates.
  bool verify = true;
};

/// The outcome of one request, over all its tries.
struct load_record {
  std::string id;
  bool answered = false;
  bool said_not_run = false;  ///< the last try certainly did not run
  bool maybe_run = false;     ///< some try ran or may have run
  std::uint32_t tries = 0;

  auto operator==(const load_record&) const -> bool = default;
};

struct load_report {
  // Requests by the outcome of their last try, except `cut`.
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;  ///< certainly not run, or not connected
  std::uint64_t refused_maybe = 0;    ///< refused, may have run
  std::uint64_t cut = 0;              ///< tries whose answer was incomplete
  std::uint64_t wrong = 0;            ///< answers that are not the expected one
  std::uint64_t failed = 0;           ///< sent, but no answer began
  double seconds = 0;                 ///< duration of the run
  std::vector<double> total_ms;       ///< latencies of complete answers, sorted
  std::vector<double> first_byte_ms;  ///< times to first byte, sorted
  std::vector<load_record> records;

  /// The nearest element to `quantile` (0 to 1) of `sorted`; 0 if it is empty.
  auto Quantile(const std::vector<double>& sorted, double quantile) const
      -> double;
  auto ToJson() const -> std::string;
};

/// Sends the load and returns the results; blocks. Once `stop` is true, no
/// further requests begin and the run ends when those in progress have ended.
auto RunLoad(const load_options& options, const std::atomic<bool>& stop)
    -> load_report;

}  // namespace lovagedale
