#!/usr/bin/env bash
# Builds the programs of an earlier commit, for tests of two builds side by side,
# and prints the build folder. Builds nothing if that was done before.
#   build_former.sh [COMMIT]   default: `production` of deploy/system.toml
# Exit code 77 with a reason if the history has no such commit.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
commit=${1:-$(sed -n 's/^production = "\(.*\)"$/\1/p' "$root/deploy/system.toml")}
if ! commit=$(git -C "$root" rev-parse --verify --quiet "$commit^{commit}"); then
  echo "skipped: the history of this checkout has no commit \"${1:-production}\"" >&2
  exit 77
fi
folder="$root/build/former/$commit"
if [ ! -e "$folder/complete" ]; then
  rm -rf "$folder"
  mkdir -p "$folder/source"
  git -C "$root" archive "$commit" | tar -x -C "$folder/source"
  {
    cmake -S "$folder/source" -B "$folder/build" -G Ninja \
      -DCMAKE_BUILD_TYPE=Release -DLOVAGEDALE_PROGRAMS_ONLY=ON
    cmake --build "$folder/build" --target lovagedale-control \
      lovagedale-ledger lovagedale-entry lovagedale-platform-control \
      lovagedale-platform-entry
  } >"$folder/build.log" 2>&1 || {
    cat "$folder/build.log" >&2
    exit 1
  }
  touch "$folder/complete"
fi
echo "$folder/build"
