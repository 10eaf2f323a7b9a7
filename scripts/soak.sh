#!/usr/bin/env bash
# The long forms of process tests, for the counts in docs/PROOFS.md: 10,000
# orders under kills, 100 kills of the control leader, 1,008 planned stops. Takes
# about 17 minutes and needs a build.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
tests="$root/tests/processes"
orders=10000 "$tests/order_once.sh"
rounds=100 "$tests/control_failover.sh"
rounds=84 "$tests/rolling_restart.sh"
