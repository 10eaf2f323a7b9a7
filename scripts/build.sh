#!/usr/bin/env bash
# Installs what is missing and builds everything in Release into build/.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
"$root/scripts/install_packages.sh"
cmake -S "$root" -B "$root/build" -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$root/build"
