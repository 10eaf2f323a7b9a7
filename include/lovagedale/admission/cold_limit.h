#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lovagedale/admission/server_limit.h"
#include "lovagedale/admission/token_bucket.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/common/time.h"

namespace lovagedale {

/// What the operator's document says of a service whose servers crash when they
/// get many requests shortly after a start.
struct service_cold_limit {
  std::string service;
  /// Requests a second that a cold server tolerates from all entries together;
  /// positive and finite.
  double per_s = 0;
  /// How long a server is cold after a start; 0 if not known.
  monotonic_ms start_ms = 0;

  auto operator==(const service_cold_limit&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, per_s, start_ms);
  }
};

/// Longest time for which a server of the service counts as cold, whatever the
/// server list says.
auto MaxColdMs(const service_cold_limit& limit) -> monotonic_ms;

/// Key of a server's cold limit in grants. Differs from its ServerKey, as the
/// server may name a limit of its own at the same time.
inline auto ColdKey(std::uint64_t id_hash) -> std::uint32_t {
  constexpr std::uint64_t kColdLimits = 0x636f6c64;
  return ServerKey(MixBits(id_hash ^ kColdLimits));
}

/// The number of entries, as far as an entry may rely on it. While entries
/// start, each is told a number that grows: shares that follow from it at once
/// would sum to several times the limit.
class settled_entry_count {
 public:
  /// Records what the control leader told.
  auto Record(std::size_t entries, monotonic_ms now) -> void;
  /// The largest number told of late; nothing until kSettlingMs after the first
  /// one, and without any.
  auto Count(monotonic_ms now) const -> std::optional<std::size_t>;

 private:
  static constexpr monotonic_ms kSettlingMs = 3'000;
  /// A smaller number counts once no larger one was told for this time.
  static constexpr monotonic_ms kLargestLastsMs = 10'000;

  std::size_t largest_ = 0;
  monotonic_ms largest_at_ = 0;
  std::optional<monotonic_ms> first_at_;
};

/// One entry's way to keep to a server's cold limit. An entry asks control for
/// a grant before each request to a cold server; without an answer it takes
/// places in its share of the limit. Guards against cold servers that crash as
/// many entries send to them at once. Places come into being at equal intervals
/// from a random phase on and end soon, so that few entries hold one at any
/// time, however suddenly the demand begins. Does no I/O and reads no clock.
class cold_share {
 public:
  /// Whether control may be asked, or a place taken.
  auto MayAsk(monotonic_ms now) const -> bool { return now >= refused_until_; }
  /// Adopts control's answer; whether the request may be sent.
  auto Adopt(const server_grant& grant, monotonic_ms now) -> bool;
  /// Takes a place, for a request for which control gave no answer. Without
  /// `entries` there is no place. `draw`: uniform in [0, 1), used the first
  /// time.
  auto TryTake(double limit_per_s, std::optional<std::size_t> entries,
               double draw, monotonic_ms now) -> bool;
  /// Milliseconds after which a request that did not pass may pass; at least 1.
  auto RetryAfterMs(double limit_per_s, std::optional<std::size_t> entries,
                    monotonic_ms now) const -> monotonic_ms;

 private:
  monotonic_ms refused_until_ = 0;         ///< by control
  std::optional<double> newest_place_ms_;  ///< when it came into being
  bool is_newest_taken_ = false;
};

/// The leader's grants of requests to cold servers. In any second the grants of
/// a server are at most its limit and kBurst; less by the part of the entries
/// that the leader does not hear, as these use shares. Does no I/O and reads no
/// clock.
class cold_grants {
 public:
  /// Called with each heartbeat of an entry.
  auto RecordHeartbeat(const std::string& entry, monotonic_ms now) -> void;
  auto Forget(const std::string& entry) -> void;
  /// Answers an entry that has a request for the cold server with this key.
  /// `registered_entries`: those that are heard and others.
  auto Grant(std::uint32_t key, double limit_per_s,
             std::size_t registered_entries, monotonic_ms now) -> server_grant;

 private:
  static constexpr double kBurst = 2;

  struct server_record {
    token_bucket grants;
    std::size_t refused = 0;  ///< since the last grant
    monotonic_ms asked_at = 0;
  };

  auto CountHeard(monotonic_ms now) -> std::size_t;

  std::map<std::string, monotonic_ms> heard_at_;  ///< by entry
  std::map<std::uint32_t, server_record> servers_;
  std::size_t heard_ = 0;
  std::optional<monotonic_ms> counted_at_;
};

}  // namespace lovagedale
