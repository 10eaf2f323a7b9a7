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

#include "lovagedale/http/server.h"

namespace lovagedale {

/// Settings of lovagedale-standin: a small fake of one outside system.
struct standin_settings {
  std::string name;
  std::string role;  ///< engine, service, rating or hosts
  std::string host;
  std::uint16_t port = 0;
  std::int64_t slots = 8;
  std::int64_t first_token_ms = 5;
  std::int64_t token_ms = 1;
  std::int64_t default_tokens = 20;
  /// Versions that an engine holds at its start, how many it can hold, and how
  /// long a load takes. With max_loaded 0 it holds every version.
  std::vector<std::string> loaded;
  std::int64_t max_loaded = 0;
  std::int64_t load_ms = 200;
  /// Whether orders with an old fencing number are refused.
  bool checks_fencing = true;
  /// Share of answers that a rater finds good, by version name.
  std::map<std::string, double> quality;
  std::string log_file;
  std::string log_level;
};

auto ParseStandinSettings(std::string_view text) -> standin_settings;

/// Whether a stand-in's answer of a version to a prompt is good. The engine
/// and the rating stand-in agree on it without talking to each other.
auto IsGoodAnswer(const standin_settings& settings, std::string_view version,
                  std::string_view prompt) -> bool;

/// The text that a stand-in engine answers: the same each time, so that a
/// test can tell a whole answer and its own one from others.
auto StandinAnswer(std::string_view version, std::string_view prompt,
                   std::int64_t tokens) -> std::vector<std::string>;

/// A fake engine, plain service, rating service or platform host list (which
/// `POST /hosts/NAME/STATE` changes). Faults are asked for in
/// the request itself:
///   [crash]         the process exits at once
///   [silent]        the request is read and never answered
///   [cut-after:N]   the stream's connection closes after N tokens
///   [tokens:N]      the answer has N tokens
class standin {
 public:
  standin(boost::asio::io_context& context, standin_settings settings);

  auto Handle(http_exchange& exchange) -> void;
  /// Refuses new work from now on and reports that it is leaving.
  auto BeginLeaving() -> void { leaving_ = true; }
  auto Running() const -> std::int64_t { return running_ + waiting_; }

 private:
  auto HandleChat(http_exchange& exchange) -> void;
  auto HandleService(http_exchange& exchange) -> void;
  auto HandleRating(http_exchange& exchange) -> void;
  auto HandleOrder(http_exchange& exchange) -> void;
  auto HandleLoad(http_exchange& exchange) -> void;
  auto Holds(const std::string& version) const -> bool;
  auto HandleHosts(http_exchange& exchange) -> void;
  auto HandleRecord(http_exchange& exchange) -> void;
  auto WaitForSlot(http_exchange& exchange) -> void;
  auto Pause(std::int64_t ms, http_exchange& exchange) -> void;

  boost::asio::io_context& context_;
  standin_settings settings_;
  std::int64_t running_ = 0;
  std::int64_t waiting_ = 0;
  bool leaving_ = false;
  std::map<std::string, std::string> hosts_;  // State by name.
  std::set<std::string> loaded_;
  std::set<std::string> loading_;
  std::uint64_t highest_fence_ = 0;
  /// Calls by order id (services) or version (engines), for tests.
  std::map<std::string, std::int64_t> record_;
};

}  // namespace lovagedale
