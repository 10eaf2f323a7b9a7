#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/common/time.h"
#include "lovagedale/placement/prefix_index.h"
#include "lovagedale/placement/server_state.h"

namespace lovagedale {

/// A server with its state, as listed in a routing table.
struct placed_server {
  server_id id = 0;
  std::int64_t slots = 1;
  server_state* state = nullptr;
};

/// Servers of one version or service: those of the entry's own zone first.
struct placement_group {
  std::vector<placed_server> local;
  std::vector<placed_server> remote;
};

struct placement_options {
  /// Servers looked at per decision, beside those that hold a prefix.
  std::size_t samples = 4;
  /// Work saved by one cached block, in requests.
  double requests_saved_per_block = 0.03;
  /// Most work that cached blocks can save, in requests.
  double max_requests_saved = 0.7;
  /// A load report is trusted for this long.
  monotonic_ms load_report_max_age_ms = 5'000;
};

struct placement_request {
  std::span<const prefix_hash> prefixes;
  /// Servers that must not be chosen: they were tried already.
  std::span<const server_id> excluded;
  /// Whether the request may have crashed a server: it is kept away from
  /// other suspects.
  bool is_suspect = false;
  monotonic_ms now = 0;
  std::uint64_t random = 0;
  /// Hash of the version's name, which the server must hold; 0 for services.
  std::uint64_t version_hash = 0;
};

enum class placement_reason {
  kLeastLoaded,
  kPrefixCached,
  kOtherZone,  ///< no server of the entry's zone could take it
};

struct placement_choice {
  server_id server = 0;
  server_state* state = nullptr;
  placement_reason reason = placement_reason::kLeastLoaded;
  double score = 0;
  std::size_t cached_blocks = 0;
  std::size_t considered = 0;
};

/// Expected wait at a server in units of its slots: the latest report, plus
/// what this entry sent since, plus its own requests if there is no report.
auto ExpectedLoad(const placed_server& server, monotonic_ms now,
                  const placement_options& options) -> double;

/// Whether the server may receive new work at all.
auto IsAvailable(const placed_server& server, monotonic_ms now) -> bool;

/// Chooses a server for a request: among a few random ones and those that
/// hold the longest prefixes, the one with the least expected work. Returns
/// nothing if no server is available. Reads atomics only; no locks.
auto ChooseServer(const placement_group& group, const prefix_index& prefixes,
                  const placement_request& request,
                  const placement_options& options)
    -> std::optional<placement_choice>;

auto ReasonName(placement_reason reason) -> const char*;

}  // namespace lovagedale
