#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/http/server.h"
#include "lovagedale/standin/arrival_windows.h"

namespace lovagedale {

/// Settings of lovagedale-standin, which simulates one external system: an
/// inference engine, a plain service, a rating service or a host list.
struct standin_settings {
  std::string name;
  std::string role;  ///< engine, service, rating or hosts
  std::string host;
  std::uint16_t port = 0;
  std::int64_t slots = 8;           ///< requests that run at once; others queue
  std::int64_t first_token_ms = 5;  ///< delay before the first token
  std::int64_t token_ms = 1;        ///< delay per token
  std::int64_t default_tokens = 20;  ///< without a [tokens:N] marker
  /// Versions that an engine has loaded at its start, the maximum number that
  /// it can have loaded, and the duration of a load. With max_loaded 0 every
  /// version counts as loaded.
  std::vector<std::string> loaded;
  std::int64_t max_loaded = 0;
  std::int64_t load_ms = 200;
  /// Whether load and unload orders are refused if their fencing number is
  /// lower than the highest one received.
  bool checks_fencing = true;
  /// Fraction (0 to 1) of prompts whose answer is rated good, by version name.
  std::map<std::string, double> good_answer_fraction;
  std::string log_file;
  std::string log_level;
};

/// Throws settings_invalid if a setting is missing or out of range.
auto ParseStandinSettings(std::string_view text) -> standin_settings;

/// Whether a version's answer to a prompt counts as good. The result depends
/// only on the arguments, so that the engine and the rating stand-in agree
/// without communicating.
auto IsGoodAnswer(const standin_settings& settings, std::string_view version,
                  std::string_view prompt) -> bool;

/// The words of a stand-in engine's answer, one per token. They are
/// deterministic, so that a test detects an incomplete answer or one that
/// belongs to another request.
auto StandinAnswer(std::string_view version, std::string_view prompt,
                   std::int64_t tokens) -> std::vector<std::string>;

/// Simulates an engine, plain service, rating service or platform host list
/// (which `POST /hosts/NAME/STATE` changes). `POST /limit/RATE` makes an engine
/// name RATE requests a second as its limit in its answers, none for 0; `GET
/// /limit` returns the number of requests from kLimitSettleMs after that on,
/// and the most in one of arrival_windows. Markers in the request's text inject
/// faults and set the length of the answer:
///   [crash]         the process exits at once; a service exits after it has
///                   counted the call
///   [crash-before]  a service exits before it counts the call
///   [silent]        the request is read and never answered
///   [cut-after:N]   the stream's connection closes after N tokens, unless the
///                   request continues an earlier answer
///   [tokens:N]      the answer has N tokens
class standin {
 public:
  /// The first window begins half a second after the limit was named.
  static constexpr monotonic_ms kLimitSettleMs =
      arrival_windows::kWindowMs + 500;

  standin(boost::asio::io_context& context, standin_settings settings);

  auto Handle(http_exchange& exchange) -> void;
  /// Refuses new requests from now on and reports "leaving" in its load.
  auto BeginLeaving() -> void { leaving_ = true; }
  /// Requests that run or wait for a slot.
  auto UnfinishedRequests() const -> std::int64_t {
    return running_ + waiting_;
  }

 private:
  auto HandleChat(http_exchange& exchange) -> void;
  auto HandleService(http_exchange& exchange) -> void;
  auto HandleRating(http_exchange& exchange) -> void;
  auto HandleOrder(http_exchange& exchange) -> void;
  auto HandleLoad(http_exchange& exchange) -> void;
  auto IsLoaded(const std::string& version) const -> bool;
  auto HandleHosts(http_exchange& exchange) -> void;
  auto HandleLimit(http_exchange& exchange) -> void;
  /// Of an engine's answer: its limit, if it names one.
  auto LimitHeaders() const -> header_list;
  auto HandleRecord(http_exchange& exchange) -> void;
  auto WaitForSlot(http_exchange& exchange) -> void;
  auto Pause(std::int64_t ms, http_exchange& exchange) -> void;

  boost::asio::io_context& context_;
  standin_settings settings_;
  std::int64_t running_ = 0;
  std::int64_t waiting_ = 0;
  bool leaving_ = false;
  std::string limit_;  ///< named in answers; empty for none
  arrival_windows arrivals_;
  system_monotonic_clock clock_;
  std::map<std::string, std::string> host_states_;  // By host name.
  std::set<std::string> loaded_;
  std::set<std::string> loading_;
  std::uint64_t highest_fencing_number_ = 0;
  /// Number of calls by order id (services) or version (engines), and of loads
  /// by "load VERSION"; tests read them from /record.
  std::map<std::string, std::int64_t> call_counts_;
};

}  // namespace lovagedale
