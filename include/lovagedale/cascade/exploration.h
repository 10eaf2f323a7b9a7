#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lovagedale/cascade/plan.h"

namespace lovagedale {

/// How a customer's requests are used to learn the quality of versions. Patient
/// callers wait until an explored answer is rated and get a better one if the
/// rating is low. For other callers few requests explore, and an explored
/// answer is replaced only if its confidence signal is low.
struct exploration_options {
  /// Largest share of a class's requests that try versions with few ratings.
  double max_share = 0.9;
  /// Ratings of a version on a class after which it is no longer explored.
  std::uint64_t wanted_ratings = 200;
  /// Bounds of the share of answers to ordinary (not exploring) requests that
  /// are rated.
  double min_rating_share = 0.1;
  double max_rating_share = 0.5;
  /// Number of ratings of a version on a class up to which the share is the
  /// largest; beyond it, the share is inversely proportional to the ratings.
  double rating_knee = 40;
};

/// Options for customers whose callers do not wait for ratings.
auto InteractiveExploration() -> exploration_options;

/// An explored answer with a signal in a lower bin is always replaced; others
/// are kept if they are rated as good.
inline constexpr std::uint8_t kMinKeptExplorationBin = kSignalBins / 2;

/// A version with few ratings and the share of requests that try it first.
struct exploration_share {
  version_id version = 0;
  double share = 0;

  auto operator==(const exploration_share&) const -> bool = default;
};

/// Versions to explore. The last of `versions`, the most expensive one, is
/// never explored: it answers by default while there is no evidence.
auto ExplorationShares(const std::vector<version_profile>& versions,
                       const exploration_options& options)
    -> std::vector<exploration_share>;

/// The version that a request explores, or nullopt. `draw` is a random number
/// in [0, 1) for the request.
auto ChooseExploration(const std::vector<version_profile>& versions,
                       double draw, const exploration_options& options)
    -> std::optional<version_id>;

/// Share of a version's ordinary answers to rate: high while there are few
/// ratings, low afterwards, but never 0, as the quality of versions changes.
auto RatingShare(const version_profile& profile,
                 const exploration_options& options) -> double;

/// Number of ratings of the answers that the version gave, on one class, as the
/// first version tried for a request.
auto RatingCount(const version_profile& profile) -> std::uint64_t;

}  // namespace lovagedale
