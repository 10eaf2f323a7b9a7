#pragma once

#include <cstddef>

#include "lovagedale/configuration/fleet_view.h"
#include "lovagedale/entry/routing_table.h"
#include "lovagedale/quality/evidence.h"

namespace lovagedale::benchmark {

/// Size of a generated fleet.
struct fleet_size {
  std::size_t servers = 600;
  std::size_t versions = 13;
  std::size_t customers = 10;
};

/// A fleet of 7 zones whose servers each run every version.
auto MakeFleetView(const fleet_size& size) -> fleet_view;

/// Evidence of all versions on `classes` task classes, in every signal bin.
auto MakeEvidence(const routing_table& table, std::size_t classes)
    -> evidence_table;

}  // namespace lovagedale::benchmark
