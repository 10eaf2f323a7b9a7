#!/usr/bin/env bash
# Checks the formatting of all sources and runs the linter on the library.
#   --fix   formats in place instead of checking
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files are formatted"

# The linter does not read the compiler's precompiled headers, so it gets a
# compilation database without them.
cmake -S . -B build/lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_CXX_COMPILER_LAUNCHER= >/dev/null
sed -i 's/-fpch-preprocess//g' build/lint/compile_commands.json
mapfile -t checked < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp')
printf '%s\n' "${checked[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/lint 2>/dev/null
echo "clang-tidy: ${#checked[@]} files are clean"
