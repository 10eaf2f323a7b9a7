#pragma once

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "lovagedale/control/service.h"
#include "lovagedale/replication/disk.h"
#include "lovagedale/replication/log_store.h"
#include "lovagedale/route_entry/settings.h"
#include "support/free_port.h"
#include "support/temporary_folder.h"

namespace lovagedale::testing {

/// Name of the only control replica of a test.
inline constexpr const char* kControlName = "127.0.0.1:1";

/// A control replica without others, in the test's process. `source` lists the
/// servers.
class local_control {
 public:
  local_control(boost::asio::io_context& context, server_source source,
                cold_limit_parser parse_cold_limits = {})
      : context_(context),
        store_(disk_, InitializedFolder()),
        service_(context, Settings(), store_, std::move(source),
                 std::move(parse_cold_limits)) {
    service_.Start();
  }

  auto rpc_port() const -> std::uint16_t { return rpc_port_; }
  /// Gives up the leadership for good, and grants nothing any more.
  auto Stop() -> void { service_.BeginStop(); }
  auto view() const -> const fleet_view& { return service_.machine().view(); }
  /// For so long an order may be sent again.
  static constexpr std::chrono::milliseconds kOrderResend{400};
  auto OrderRollout(const begin_service_rollout& order) -> change_outcome {
    return Decide(
        [&](const auto& done) { service_.OrderServiceRollout(order, done); });
  }
  auto Apply(const change_action& action) -> change_outcome {
    return Decide([&](const auto& done) {
      service_.SubmitChange({"change-" + std::to_string(++changes_),
                             kAnyRevision, "test", 0, action},
                            done);
    });
  }
  auto IsLeader() const -> bool { return service_.IsLeader(); }
  auto SetRoutes(route_config config) -> void {
    const auto id = "routes-" + std::to_string(config.version);
    service_.SubmitChange(
        {id, kAnyRevision, "test", 0, set_routes{std::move(config), ""}},
        [](const change_outcome& outcome) {
          REQUIRE(outcome.result.status == change_status::kApplied);
        });
  }

 private:
  auto InitializedFolder() const -> std::string {
    const auto path = folder_.path() + "/data";
    InitializeDataFolder(path, {kControlName});
    return path;
  }
  auto Settings() const -> replica_settings {
    replica_settings settings;
    settings.name = kControlName;
    settings.zone = "zone-a";
    settings.host = "127.0.0.1";
    settings.rpc_port = rpc_port_;
    settings.order_resend = kOrderResend;
    return settings;
  }
  /// Handles events until `submit` has an outcome.
  template <typename Submit>
  auto Decide(const Submit& submit) -> change_outcome {
    const auto decided = std::make_shared<std::optional<change_outcome>>();
    submit([decided](const change_outcome& outcome) { *decided = outcome; });
    for (int i = 0; i < 500 && !*decided; ++i) {
      context_.run_for(std::chrono::milliseconds(10));
    }
    REQUIRE(decided->has_value());
    return **decided;
  }

  boost::asio::io_context& context_;
  int changes_ = 0;
  std::uint16_t rpc_port_ = FreePort();
  temporary_folder folder_;
  posix_disk disk_;
  log_store store_;
  control_service service_;
};

/// Settings of an entry that relays, for the control replica at `control_port`.
inline auto EntrySettings(const std::string& name, std::uint16_t control_port)
    -> route_entry_settings {
  route_entry_settings settings;
  settings.name = name;
  settings.zone = "zone-a";
  settings.control_port = control_port;
  settings.seeds = {kControlName};
  settings.relay.zone = "zone-a";
  return settings;
}

}  // namespace lovagedale::testing
