#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lovagedale/common/time.h"
#include "lovagedale/configuration/view_update.h"

namespace lovagedale {

/// Most bytes of an update in one heartbeat response: a response must arrive
/// well within the time limit of a heartbeat on a congested link.
inline constexpr std::size_t kMaxUpdatePartBytes = 32UL << 10U;

/// How much of an encoded update an entry has received.
struct update_progress {
  std::uint64_t update_hash = 0;
  std::uint64_t received_bytes = 0;

  auto operator==(const update_progress&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(update_hash, received_bytes);
  }
};

/// An entry's request for the next part of an update.
struct update_request {
  view_position held;  ///< the configuration that the update starts from
  std::optional<update_progress> progress;  ///< of an unfinished update

  auto operator==(const update_request&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(held, progress);
  }
};

/// Consecutive bytes of an encoded view_update.
struct update_part {
  std::uint64_t update_hash = 0;  ///< Hash64 of the encoded update
  std::uint64_t total_bytes = 0;  ///< of the encoded update
  std::uint64_t offset = 0;
  std::string bytes;

  auto operator==(const update_part&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(update_hash, total_bytes, offset, bytes);
  }
};

/// Makes the parts that a control replica sends. An update that an entry has
/// begun to receive is kept while the entry asks for it, also when there is a
/// newer configuration: an entry on a slow link finishes it, and then receives
/// what has changed since. Pure.
class update_part_source {
 public:
  /// An update is kept for this time after its last part was sent.
  static constexpr monotonic_ms kKeptMs = 5'000;
  /// Size of the kept updates. Beyond, the one that was not used for longest is
  /// dropped; its receivers start over.
  static constexpr std::size_t kMaxKeptBytes = 16UL << 20U;

  /// See view_update_source::SetColdLimits.
  auto SetColdLimits(std::optional<std::vector<service_cold_limit>> limits)
      -> void {
    updates_.SetColdLimits(std::move(limits));
  }
  /// See view_update_source::Observe.
  auto Observe(const fleet_view& view) -> void { updates_.Observe(view); }
  /// The next part of the requested update, or the first part of an update to
  /// `view`.
  auto PartFor(const fleet_view& view, const update_request& request,
               monotonic_ms now) -> update_part;

 private:
  struct kept_update {
    std::string encoded;
    view_position from;
    config_revision revision = 0;
    monotonic_ms last_used = 0;
  };

  /// Hash of the kept update to `view`; encodes it if needed.
  auto UpdateTo(const fleet_view& view, const view_position& held,
                monotonic_ms now) -> std::uint64_t;
  /// Makes room for `added_bytes`.
  auto DropUnused(std::size_t added_bytes, monotonic_ms now) -> void;

  view_update_source updates_;
  std::map<std::uint64_t, kept_update> kept_;  ///< by hash
  std::size_t kept_bytes_ = 0;
};

/// Joins the parts that an entry receives. Pure.
class update_assembler {
 public:
  /// Nothing if no update is under way.
  auto progress() const -> std::optional<update_progress> {
    if (!IsUnderWay()) return std::nullopt;
    return update_progress{update_hash_, received_.size()};
  }
  /// Whether the first part of an update has been received, but not the last.
  auto IsUnderWay() const -> bool { return !received_.empty(); }
  /// Adds a part. Returns the update if it is complete. A part that does not
  /// continue the present update is ignored, unless it is the first of another
  /// one. Throws codec_error if the bytes are not those of the update; the next
  /// request then starts over.
  auto Add(const update_part& part) -> std::optional<view_update>;

 private:
  auto Reset(std::uint64_t update_hash) -> void;

  std::uint64_t update_hash_ = 0;
  std::string received_;
};

}  // namespace lovagedale
