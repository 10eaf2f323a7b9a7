#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lovagedale/cascade/plan.h"

namespace lovagedale {

/// How a customer's requests are used for learning. Patient callers wait until
/// an explored answer is rated and get a better one if it is not good; with
/// others, few requests explore and a low signal alone replaces an answer.
struct exploration_options {
  /// Largest share of a class's requests that try a little-known version.
  double max_share = 0.9;
  /// Ratings after which a version counts as known on a class.
  std::uint64_t wanted_ratings = 200;
  /// Smallest and largest share of ordinary answers that are rated.
  double min_rating_share = 0.1;
  double max_rating_share = 0.5;
  /// Ratings of a version and class at which the share is the largest.
  double rating_knee = 40;
};

/// Options for customers whose callers do not wait for ratings.
auto InteractiveExploration() -> exploration_options;

/// Answers of an explored version with a lower signal are not kept; others
/// are kept if they are rated as good.
inline constexpr std::uint8_t kExplorationBin = kSignalBins / 2;

/// A little-known version and the share of requests that should try it first.
struct exploration_share {
  version_id version = 0;
  double share = 0;

  auto operator==(const exploration_share&) const -> bool = default;
};

/// Versions to learn about. The dearest one is never explored: it answers when
/// nothing is known.
auto ExplorationShares(const std::vector<version_profile>& versions,
                       const exploration_options& options)
    -> std::vector<exploration_share>;

/// The version that a request should try first to learn about it, or nothing.
/// `draw` is a number in [0, 1) drawn for the request.
auto ChooseExploration(const std::vector<version_profile>& versions,
                       double draw, const exploration_options& options)
    -> std::optional<version_id>;

/// Share of a version's ordinary answers to rate: many while little is known,
/// few afterwards, never none, as versions change.
auto RatingShare(const version_profile& profile,
                 const exploration_options& options) -> double;

/// Ratings of a version's first answers on a class.
auto RatingCount(const version_profile& profile) -> std::uint64_t;

}  // namespace lovagedale
