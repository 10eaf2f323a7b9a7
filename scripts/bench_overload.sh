#!/usr/bin/env bash
# Twice the capacity of the engines, open loop: goodput against what the
# engines can do, and patient requests that were accepted and then dropped.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
engines_per_zone=1
# shellcheck source=tests/processes/fleet_test.sh
. "$root/tests/processes/fleet_test.sh"
start_fleet

# 3 engines of 64 slots, 105 ms a request (5 ms and 20 tokens of 5 ms).
seconds=10
capacity=$(load --targets="$(entry_ports)" --model=scholar@1 --tokens=20 \
  --concurrency=192 --threads=2 --seconds="$seconds" --verify=false)
full=$(field per_second "$capacity")
twice=$(awk -v f="$full" 'BEGIN { print 2 * f }')
over=$(load --targets="$(entry_ports)" --model=scholar@1 --tokens=20 \
  --concurrency=6000 --threads=2 --rate="$twice" --seconds="$seconds" \
  --verify=false)
echo "closed loop at capacity: $capacity"
echo "open loop at twice that: $over"
awk -v full="$full" -v over="$(field per_second "$over")" 'BEGIN {
  share = over / full
  printf "goodput at twice the capacity: %.3f of capacity  >= 0.95 %s\n", share, (share >= 0.95 ? "met" : "MISSED")
}'
expect_zero cut "$over"
expect_zero refused_maybe "$over"
