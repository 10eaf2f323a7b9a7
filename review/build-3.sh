#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# target/review-3/. Run after the build of the deploy file.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cmake -S "$root/review/stand-ins-3" -B "$root/target/review-3" -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$root/target/review-3"
