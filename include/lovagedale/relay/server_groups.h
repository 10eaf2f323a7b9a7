#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"

namespace lovagedale {

// A server processes prompts in chunks between the tokens of the streams that
// it runs, so a long prompt on a large model delays every stream beside it.
// Requests with much prompt work (heavy) therefore prefer one group of a
// service's servers and the others (light) the rest.

/// Work of prompts that were sent to a service, per second: by one entry, or by
/// all. Work is as in prompt_work, rounded.
struct service_work {
  std::uint32_t service = 0;  ///< ServiceKey of its name
  std::uint32_t heavy = 0;
  std::uint32_t light = 0;

  auto operator==(const service_work&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, heavy, light);
  }
};

/// Share of the heavy requests in the work of all entries at a service.
struct heavy_work_share {
  std::uint32_t service = 0;  ///< ServiceKey of its name
  std::uint16_t share = 0;    ///< of kWhole

  static constexpr std::uint16_t kWhole = 10'000;

  auto operator==(const heavy_work_share&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, share);
  }
};

/// Services in a report and in its answer. Deployments have one or two services
/// with prompts; control's budget of bytes allows few more.
inline constexpr std::size_t kMaxGroupedServices = 4;
/// How often an entry reports its work, which leaves control's budget to the
/// loads: the shares change within minutes.
inline constexpr monotonic_ms kWorkReportPeriodMs = 10'000;

/// The least work of a heavy request at a service whose streams tolerate a
/// pause of `pause_ms` at least; nothing if there is no such limit.
auto HeavyMinWork(std::int64_t pause_ms) -> std::optional<double>;

/// Fraction of a service's servers that heavy requests prefer if they are
/// `heavy_share` (0 to 1) of its work; rises with it, from 0 to 1.
auto HeavyServerFraction(double heavy_share) -> double;

/// A server's fixed position between 0 and 1. Those below a boundary are
/// preferred by heavy requests, so a small shift of it moves few servers.
auto GroupPosition(std::uint64_t id_hash) -> double;

/// Boundary that leaves `fraction` of the positions below it, and at least one
/// on each side. There must be at least two positions.
auto GroupBoundary(std::vector<double> positions, double fraction) -> double;

/// The two groups of a service's servers.
struct server_groups {
  double boundary = 0;        ///< see GroupPosition
  double heavy_min_work = 0;  ///< of a request; see HeavyMinWork

  auto IsHeavy(double work) const -> bool { return work > heavy_min_work; }
  /// Whether requests of this class prefer the server.
  auto Prefers(bool is_heavy, std::uint64_t id_hash) const -> bool {
    return (GroupPosition(id_hash) < boundary) == is_heavy;
  }
  /// Work that a server of the other group must save to be chosen. A heavy
  /// request delays the streams there for the whole of its prompt; a light one
  /// waits there behind one heavy request on average.
  auto OverflowCost(double work) const -> double {
    return IsHeavy(work) ? work : heavy_min_work;
  }

  auto operator==(const server_groups&) const -> bool = default;
};

/// Work that was sent recently, by class.
class recent_work {
 public:
  auto Add(double work, bool is_heavy, monotonic_ms now) -> void;
  /// Per second.
  auto Heavy(monotonic_ms now) const -> double;
  auto Light(monotonic_ms now) const -> double;

 private:
  auto Decay(monotonic_ms now) const -> double;

  double heavy_ = 0;  ///< as of at_
  double light_ = 0;
  monotonic_ms at_ = 0;
};

/// Control's sums of the work that entries report. Gives all entries the same
/// shares, so that their groups are the same.
class work_share_total {
 public:
  /// Replaces what the entry reported before.
  auto Report(const std::string& entry, std::vector<service_work> work,
              monotonic_ms now) -> void;
  auto Forget(const std::string& entry) -> void { by_entry_.erase(entry); }
  /// Of at most kMaxGroupedServices services. A share changes only if the
  /// measured one differs by more than kMinChange. Empty for a time after the
  /// first report: a few entries are no sample of the fleet, as after a change
  /// of the leader.
  auto Shares(monotonic_ms now) -> std::vector<heavy_work_share>;

 private:
  /// Covers a report that was lost.
  static constexpr monotonic_ms kReportMaxAgeMs = 5 * kWorkReportPeriodMs / 2;
  /// Entries report to a new leader with their first heartbeat.
  static constexpr monotonic_ms kCollectMs = 3'000;
  /// Each change moves servers between the groups, and the servers' caches hold
  /// nothing of their new group.
  static constexpr double kMinChange = 0.015;

  struct entry_work {
    std::vector<service_work> work;
    monotonic_ms at = 0;
  };
  std::map<std::string, entry_work> by_entry_;
  monotonic_ms collects_since_ = 0;  ///< if by_entry_ is not empty
  std::map<std::uint32_t, heavy_work_share> shares_;  ///< by service
};

/// A server as service_groups sees it.
struct grouped_server {
  double position = 0;     ///< see GroupPosition
  double queued_work = 0;  ///< of all entries, before its first event

  auto operator==(const grouped_server&) const -> bool = default;
};

/// One service's groups at an entry. The boundary follows the fleet's share of
/// heavy work; beside it, the group with the much longer queues gets more
/// servers for as long as they last.
class service_groups {
 public:
  /// This entry has sent a prompt; the class is that of the latest Update.
  auto RecordSent(double work, monotonic_ms now) -> void;
  auto AdoptShare(double heavy_share) -> void { fleet_share_ = heavy_share; }
  auto HasFleetShare() const -> bool { return fleet_share_.has_value(); }
  auto IsUpdateDue(monotonic_ms now) const -> bool {
    return !updated_at_ || now - *updated_at_ >= kUpdatePeriodMs;
  }
  /// `servers` are those that take requests. `heavy_min_work` is nothing if the
  /// service has no groups. The queues count only if `has_queues`: an entry's
  /// own requests say little about the servers' queues.
  auto Update(const std::vector<grouped_server>& servers,
              std::optional<double> heavy_min_work, bool has_queues,
              monotonic_ms now) -> void;
  /// Nothing if requests may go to any server.
  auto groups() const -> const std::optional<server_groups>& { return groups_; }
  auto work() const -> const recent_work& { return work_; }
  /// The share that the boundary follows; nothing if none is known.
  auto HeavyShare(monotonic_ms now) const -> std::optional<double>;

  /// A group of fewer than four servers leaves no choice between queues.
  static constexpr std::size_t kMinServers = 8;
  /// Largest shift of the fraction of heavy requests' servers by queues.
  static constexpr double kMaxShift = 0.15;

 private:
  /// The shift towards which the queues move the boundary now.
  auto WantedShift(const std::vector<grouped_server>& servers) const -> double;

  static constexpr monotonic_ms kUpdatePeriodMs = 250;

  recent_work work_;
  std::uint64_t sent_ = 0;
  std::optional<double> heavy_min_work_;
  std::optional<double> fleet_share_;
  std::optional<server_groups> groups_;
  double shift_ = 0;
  std::optional<monotonic_ms> updated_at_;
};

/// By name of the service.
using service_groups_table = std::map<std::string, service_groups>;

/// This entry's report to control: the services with the most work.
auto OwnServiceWork(const service_groups_table& table, monotonic_ms now)
    -> std::vector<service_work>;
/// Adopts control's answer; services that it does not name keep their share.
auto AdoptShares(service_groups_table& table,
                 const std::vector<heavy_work_share>& shares) -> void;

}  // namespace lovagedale
