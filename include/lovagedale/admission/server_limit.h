#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/admission/expiring_places.h"
#include "lovagedale/admission/token_bucket.h"
#include "lovagedale/common/time.h"

namespace lovagedale {

/// Events a second, as an exponentially weighted average.
class rate_estimate {
 public:
  auto Add(monotonic_ms now) -> void;
  auto PerSecond(monotonic_ms now) const -> double;
  /// What PerSecond was before an event that was added just now.
  auto PerSecondBefore(monotonic_ms now) const -> double;

 private:
  static constexpr double kTimeConstantMs = 5'000;

  double per_s_ = 0;
  monotonic_ms updated_at_ = 0;
};

/// What an entry tells control about a server that names a limit, or has named
/// one until recently.
struct server_limit_report {
  std::uint32_t server = 0;  ///< ServerKey of its id
  float limit_per_s = 0;     ///< requests a second of all entries; 0: none
  /// Time since an answer told so, in hundredths of a second.
  std::uint16_t age_cs = 0;
  float demand_per_s = 0;  ///< requests that would go there without a limit

  auto operator==(const server_limit_report&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(server, limit_per_s, age_cs, demand_per_s);
  }
};

/// The same for all entries together: their latest word about the limit, and
/// the sum of their demands.
using server_limit_status = server_limit_report;

/// Servers in one report or status, so that they fit into the bytes that
/// control may cost an entry. Several servers take turns.
inline constexpr std::size_t kMaxServerLimitsPerHeartbeat = 3;

/// Selects the servers whose turn it is in the next heartbeat.
class server_limit_turns {
 public:
  /// Keeps at most kMaxServerLimitsPerHeartbeat servers: first those whose
  /// limit has begun or ended since they were last kept, then those that were
  /// kept the longest time ago.
  auto Select(std::vector<server_limit_report>& servers) -> void;

 private:
  struct last_turn {
    std::uint64_t number = 0;
    bool was_limited = false;
  };
  std::map<std::uint32_t, last_turn> last_turns_;
  std::uint64_t next_number_ = 1;
};

/// Parses a limit in requests a second; nothing if it is not a number or
/// negative.
auto ParseServerLimit(std::string_view text) -> std::optional<double>;

/// What an answer of a server tells of its limit.
struct limit_answer {
  std::optional<double> limit_per_s;  ///< that it names, if any
  /// Whether the server ran the request and did not fail. Other answers may
  /// name no limit although there is one.
  bool is_success = true;
  monotonic_ms sent_at = 0;  ///< of the request

  auto operator==(const limit_answer&) const -> bool = default;
};

/// Control's answer to an entry that has a request for a limited server.
struct server_grant {
  /// Whether the entry may send one request now.
  bool is_granted = false;
  /// If not: when the entry may ask again.
  std::uint32_t retry_after_ms = 0;
  server_limit_status status;

  auto operator==(const server_grant&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(is_granted, retry_after_ms, status);
  }
};

/// One server's limit and this entry's share of it. A server in need names in
/// its answers how many requests a second it takes from all entries together.
/// An entry that relays asks control for a grant before each request to it.
/// Without a grant an entry takes places in a share: a part of the limit that
/// follows from what control told last and not from the demand now, so that the
/// shares sum to less than the limit however the demand grows. As a server
/// names a limit when it has got too much, what exceeded the limit in the
/// seconds before is made up for first. Does no I/O and reads no clock; not
/// thread-safe.
class server_limit {
 public:
  /// Records an answer of the server. Whether the server has a limit now and
  /// had none, or the reverse; control should be told at once.
  auto RecordAnswer(const limit_answer& answer, monotonic_ms now) -> bool;
  /// Adopts what control tells of all entries.
  auto Adopt(const server_limit_status& status, monotonic_ms now) -> void;
  /// Counts a request that would go to the server if it had no limit.
  auto RecordDemand(monotonic_ms now) -> void { demand_.Add(now); }

  auto IsLimited() const -> bool { return limit_per_s_ > 0; }
  auto limit_per_s() const -> double { return limit_per_s_; }
  /// Requests a second that would go to the server without a limit, by this
  /// entry's own average.
  auto OwnDemand(monotonic_ms now) const -> double {
    return demand_.PerSecond(now);
  }
  /// The same of all entries as control told last; nothing before.
  auto FleetDemand() const -> std::optional<double> {
    return fleet_ ? std::optional(fleet_->per_s) : std::nullopt;
  }
  /// Whether control may be asked for a grant, or a place in the share taken.
  /// `entries`: number of entries, used until control has told the demand.
  auto MayAsk(std::size_t entries, monotonic_ms now) const -> bool;
  /// Adopts control's answer; whether the request may be sent.
  auto Adopt(const server_grant& grant, monotonic_ms now) -> bool;
  /// Takes a place in the share, for a request for which control was not asked
  /// or did not answer. `draw`: uniform in [0, 1).
  auto TryTake(double draw, std::size_t entries, monotonic_ms now) -> bool;
  /// Milliseconds after which a request that did not pass is likely to.
  auto RetryAfterMs(std::size_t entries, monotonic_ms now) -> monotonic_ms;
  /// For the next heartbeat; nothing if there is nothing to tell.
  auto Report(std::uint32_t server, monotonic_ms now)
      -> std::optional<server_limit_report>;

 private:
  struct entry_share {
    double fraction = 1;    ///< of the demand of all that passes
    double rate_per_s = 0;  ///< of requests that pass here
    monotonic_ms place_lasts_ms = 0;
    monotonic_ms first_place_lasts_ms = 0;
    /// Until then no request passes; see kCatchUpMs.
    monotonic_ms begins_at = 0;
  };
  struct fleet_demand {
    double per_s = 0;      ///< of all entries
    double own_per_s = 0;  ///< of this entry at that time
    monotonic_ms at = 0;
  };

  auto SetLimit(double limit_per_s, monotonic_ms now) -> void;
  /// The demand of all entries.
  auto TotalDemand(std::size_t entries, monotonic_ms now) const -> double;
  auto ShareAt(std::size_t entries, monotonic_ms now) const -> entry_share;

  double limit_per_s_ = 0;
  monotonic_ms limited_since_ = 0;        ///< as far as this entry knows
  std::optional<monotonic_ms> ended_at_;  ///< the limit before
  monotonic_ms catch_up_ms_ = 0;          ///< made up for after limited_since_
  /// When an answer told the limit, or that there is none; nothing if there has
  /// never been one.
  std::optional<monotonic_ms> known_at_;
  std::optional<monotonic_ms> reported_known_at_;
  rate_estimate demand_;
  std::optional<fleet_demand> fleet_;
  monotonic_ms refused_until_ = 0;  ///< by control
  std::optional<expiring_places> places_;
};

/// A server_limit that threads use in turn.
class shared_server_limit {
 public:
  /// Calls `function` with the server_limit and returns what it returns.
  template <typename Function>
  auto Use(Function function) {
    const std::lock_guard lock(mutex_);
    return function(limit_);
  }

 private:
  std::mutex mutex_;
  server_limit limit_;
};

/// Sums, by server, of what the entries report. Each control replica has one:
/// entries report to the leader, and to all replicas while there is none.
class server_limit_total {
 public:
  /// Replaces what the entry reported of these servers. Whether a server has a
  /// limit by its latest word that had none before, or the reverse; all entries
  /// should be told at once.
  auto Report(const std::string& entry,
              const std::vector<server_limit_report>& reports, monotonic_ms now)
      -> bool;
  auto Forget(const std::string& entry) -> void {
    by_entry_.erase(entry);
    summed_at_.reset();
  }
  /// What the entry is told next. `live_entries`: number of entries; those that
  /// have not reported a server yet are assumed to have the same demand for it
  /// as the others.
  auto StatusesFor(const std::string& entry, std::size_t live_entries,
                   monotonic_ms now) -> std::vector<server_limit_status>;
  /// Answers an entry that has a request for a server that it has reported. The
  /// requests of a server are granted at the part of its limit that is not left
  /// to entries which use shares. `registered_entries`: live ones and others.
  auto Grant(const std::string& entry, std::uint32_t server,
             std::size_t live_entries, std::size_t registered_entries,
             monotonic_ms now) -> server_grant;

 private:
  /// An entry that is silent for a while keeps its share.
  static constexpr monotonic_ms kReportMaxAgeMs = 10'000;
  /// Demands are summed anew after this time, not for each entry.
  static constexpr monotonic_ms kSumsMaxAgeMs = 100;

  struct received_report {
    float demand_per_s = 0;
    monotonic_ms at = 0;
  };
  struct entry_record {
    std::map<std::uint32_t, received_report> reports;  ///< by server
    server_limit_turns turns;              ///< of what the entry is told
    std::optional<monotonic_ms> asked_at;  ///< last, for a grant

    /// Whether it uses grants and no shares.
    auto AsksForGrants(monotonic_ms now) const -> bool {
      return asked_at && now - *asked_at <= kReportMaxAgeMs;
    }
  };
  struct server_record {
    float limit_per_s = 0;          ///< by the latest word of any entry
    monotonic_ms known_at = 0;      ///< when an answer told so
    float demand_per_s = 0;         ///< sum over the entries
    float asking_demand_per_s = 0;  ///< of those that ask for grants
    std::size_t reporters = 0;
    std::optional<token_bucket> grants;
    std::size_t refused = 0;  ///< since the last grant
  };

  auto StatusOf(std::uint32_t key, const server_record& server,
                std::size_t live_entries, monotonic_ms now) const
      -> server_limit_status;

  /// Sums the demands of the recent reports; forgets servers without any.
  auto UpdateSums(monotonic_ms now) -> void;

  std::map<std::string, entry_record> by_entry_;
  std::map<std::uint32_t, server_record> servers_;
  std::optional<monotonic_ms> summed_at_;
};

}  // namespace lovagedale
