#pragma once

#include <optional>
#include <string>

#include "lovagedale/common/time.h"
#include "lovagedale/configuration/fleet_view.h"

namespace lovagedale {

/// Decides which control replica an entry asks for a newer configuration. A
/// configuration may be large for the entry's network link, so that one
/// replica sends it: the leader, or while none is known, or the leader does not
/// send it in time, one follower that has told of a newer revision. Pure.
class update_sender_choice {
 public:
  /// How long the leader may send nothing of a revision that a follower has.
  static constexpr monotonic_ms kLeaderTimeLimitMs = 1'000;

  /// Whether the next heartbeat to `replica` asks. `told`: the revision in the
  /// replica's latest response; `held`: the entry's; `leader`: empty if
  /// unknown.
  auto MayAsk(const std::string& replica, const std::string& leader,
              config_revision told, config_revision held,
              monotonic_ms now) const -> bool;
  /// A response with the revision `told` arrived at an entry that has `held`.
  auto RecordTold(config_revision told, config_revision held, monotonic_ms now)
      -> void;
  /// A part of a newer configuration arrived.
  auto RecordPart(monotonic_ms now) -> void;
  /// A heartbeat that asks a follower was sent; RecordFollowerEnded must
  /// follow.
  auto RecordFollowerAsked() -> void { follower_asked_ = true; }
  /// The follower's response arrived or the call failed.
  auto RecordFollowerEnded() -> void { follower_asked_ = false; }

 private:
  struct newer_revision {
    config_revision held = 0;  ///< the entry's then
    monotonic_ms since = 0;    ///< or when a part of it last arrived
  };

  bool follower_asked_ = false;  ///< until the call ends
  /// When the entry first knew of a newer revision than it holds.
  std::optional<newer_revision> newer_;
};

}  // namespace lovagedale
