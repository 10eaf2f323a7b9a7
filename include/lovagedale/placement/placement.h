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

/// A server and its state, as listed in a routing table.
struct placed_server {
  server_id id = 0;
  std::int64_t slots = 1;
  server_state* state = nullptr;
};

/// Servers of one version or service, by zone: `local` are those of the entry's
/// own zone. Both lists are sorted by id.
struct placement_group {
  std::vector<placed_server> local;
  std::vector<placed_server> remote;
};

struct placement_options {
  /// Random servers considered per decision, besides those that hold a prefix.
  std::size_t samples = 4;
  /// Work saved by one cached block, as a fraction of a request.
  double requests_saved_per_block = 0.03;
  /// Upper bound of the work that cached blocks save, in requests.
  double max_requests_saved = 0.7;
  /// Older load reports are ignored.
  monotonic_ms load_report_max_age_ms = 5'000;
};

struct placement_request {
  std::span<const prefix_hash> prefixes;
  /// Servers already tried, which must not be chosen again.
  std::span<const server_id> excluded;
  /// Whether the request ran on a server that crashed. Suspects are kept on
  /// separate servers.
  bool is_suspect = false;
  monotonic_ms now = 0;
  /// Seed of the random samples.
  std::uint64_t random = 0;
  /// Hash of the name of the version that the server must have loaded; 0 for
  /// services.
  std::uint64_t version_hash = 0;
};

enum class placement_reason {
  kLeastLoaded,
  kPrefixCached,
  kOtherZone,  ///< see ChooseServer
};

struct placement_choice {
  server_id server = 0;
  server_state* state = nullptr;
  placement_reason reason = placement_reason::kLeastLoaded;
  double score = 0;  ///< expected work, in requests per slot
  std::size_t cached_blocks = 0;
  std::size_t considered = 0;  ///< servers whose scores were compared
};

/// Requests per slot expected at a server: the latest reported load, corrected
/// by the change of this entry's own requests in flight since the report, and
/// at least these own requests. Without a recent report, only this entry's own
/// requests count.
auto ExpectedLoad(const placed_server& server, monotonic_ms now,
                  const placement_options& options) -> double;

/// Whether the server may get new requests: it is neither leaving nor ejected.
auto IsAvailable(const placed_server& server, monotonic_ms now) -> bool;

/// Chooses a server for a request: among a few random servers and those that
/// hold the longest cached prefixes, the one with the least expected work.
/// A server of another zone is chosen if the entry's zone has none available,
/// or if the request is a suspect and all servers of the zone run suspects.
/// Returns nullopt if no server is available. Takes no locks.
auto ChooseServer(const placement_group& group, const prefix_index& prefixes,
                  const placement_request& request,
                  const placement_options& options)
    -> std::optional<placement_choice>;

auto ReasonName(placement_reason reason) -> const char*;

}  // namespace lovagedale
