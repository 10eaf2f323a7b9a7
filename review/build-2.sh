#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the second review into target/review-2.
# Run after the build of the deploy file.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cmake -S "$root/review/stand-ins-2" -B "$root/target/review-2" -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/target/review-2"
