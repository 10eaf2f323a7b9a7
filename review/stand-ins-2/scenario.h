// Consumers, the operator and the frame of a scenario.

#pragma once

#include <boost/json.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "platform.h"

namespace review {

/// Exit codes of a scenario and of its script.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kNotRun = 2;

/// Thrown if a scenario cannot run, which says nothing about the product.
class cannot_run : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// What a consumer or the operator sends.
struct call {
  std::string method = "POST";
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// What came back.
struct reply {
  /// A whole answer has arrived; otherwise `failure` says what happened.
  bool is_complete = false;
  bool was_connected = false;
  /// The whole request has been written to the connection.
  bool was_sent = false;
  unsigned status = 0;
  std::string signature;  ///< empty if the answer has none
  std::string body;
  std::string failure;
  /// From the last byte of the request to the end, in milliseconds.
  std::int64_t took_ms = 0;
};

/// Sends a call on a new connection.
auto Send(asio::io_context& context, const endpoint& to, const call& item,
          std::chrono::milliseconds timeout, asio::yield_context yield)
    -> reply;

/// Addresses that the script has reserved, and its other arguments.
struct scenario_settings {
  std::vector<endpoint> controls;   ///< of the operator's calls
  std::vector<endpoint> consumers;  ///< of entries, for consumers
  std::vector<endpoint> ready;      ///< of entries, for readiness checks
  endpoint list;                    ///< of the list of replicas
  std::vector<endpoint> replicas;   ///< free addresses
  std::string record_path;
  /// False: the same without the disruption.
  bool has_trouble = true;
};

/// Runs a scenario in its own event loop; returns the exit code.
class scenario {
 public:
  explicit scenario(scenario_settings settings);

  auto context() -> asio::io_context& { return context_; }
  auto settings() const -> const scenario_settings& { return settings_; }
  auto record() -> recorder& { return record_; }
  auto list() -> replica_list& { return list_; }

  /// Sends a config to the control nodes in turn until one gives a clear
  /// answer; returns its status. Throws cannot_run if none does in 10 s.
  auto PutConfig(const std::string& document, asio::yield_context yield)
      -> unsigned;
  /// Reads the config; nothing if no node answers 200 within 10 s.
  auto GetConfig(asio::yield_context yield) -> std::optional<std::string>;
  /// Calls PutConfig and requires 200.
  auto RequireConfig(const std::string& document, asio::yield_context yield)
      -> void;
  /// Waits until all entries say that they are ready, and for connected_ms
  /// after that. Throws cannot_run if they are not ready after 20 s.
  auto AwaitReady(asio::yield_context yield) -> void;
  /// Sends a consumer's request to an entry and records both ends of it.
  auto Request(std::size_t entry, const call& item, const std::string& id,
               std::chrono::milliseconds timeout, asio::yield_context yield)
      -> reply;

  /// Runs `play`, which returns the exit code.
  auto Run(const std::function<int(asio::yield_context)>& play) -> int;

 private:
  auto Operate(const call& item, asio::yield_context yield)
      -> std::optional<reply>;

  scenario_settings settings_;
  asio::io_context context_;
  recorder record_;
  replica_list list_;
};

/// Reads the settings from the command line:
///   --control=H:P,.. --consumer=H:P,.. --ready=H:P,.. --list=H:P
///   --replica=H:P,.. --record=PATH --trouble=0|1
/// Throws cannot_run.
auto ParseArguments(int argc, char** argv) -> scenario_settings;

/// Frame of each scenario's main function.
auto RunMain(int argc, char** argv,
             const std::function<int(scenario&, asio::yield_context)>& play)
    -> int;

/// A route of a config, in the form that the operator sends.
struct route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 3000;
  int max_attempts = 1;
  bool has_models = false;

  auto ToJson() const -> boost::json::object;
};

/// A tenant of a config.
struct tenant {
  std::string name;
  std::vector<std::string> keys;
};

/// Host of all routes.
inline constexpr const char* kHost = "carts.example";

/// A whole config. `tenants` is written also if it is empty.
auto MakeConfig(int version, const std::vector<route>& routes,
                const std::vector<std::string>& services,
                const std::vector<tenant>& tenants) -> boost::json::object;

}  // namespace review
