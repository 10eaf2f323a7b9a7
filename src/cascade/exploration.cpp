#include "lovagedale/cascade/exploration.h"

#include <algorithm>

namespace lovagedale {

auto RatingCount(const version_profile& profile) -> std::uint64_t {
  std::uint64_t count = 0;
  for (const auto& counts : profile.bins) count += counts.ratings;
  return count;
}

auto InteractiveExploration() -> exploration_options {
  constexpr double kInteractiveShare = 0.1;
  exploration_options options;
  options.max_share = kInteractiveShare;
  return options;
}

auto ExplorationShares(const std::vector<version_profile>& versions,
                       const exploration_options& options)
    -> std::vector<exploration_share> {
  std::vector<exploration_share> shares;
  if (versions.size() < 2) return shares;
  const auto share_each =
      options.max_share / static_cast<double>(versions.size() - 1);
  for (std::size_t i = 0; i + 1 < versions.size(); ++i) {
    if (RatingCount(versions[i]) >= options.wanted_ratings) continue;
    shares.push_back({versions[i].version, share_each});
  }
  return shares;
}

auto ChooseExploration(const std::vector<version_profile>& versions,
                       double draw, const exploration_options& options)
    -> std::optional<version_id> {
  for (const auto& item : ExplorationShares(versions, options)) {
    if (draw < item.share) return item.version;
    draw -= item.share;
  }
  return std::nullopt;
}

auto RatingShare(const version_profile& profile,
                 const exploration_options& options) -> double {
  const auto ratings = static_cast<double>(RatingCount(profile));
  return std::clamp(
      options.max_rating_share * options.rating_knee / std::max(ratings, 1.0),
      options.min_rating_share, options.max_rating_share);
}

}  // namespace lovagedale
