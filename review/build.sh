#!/usr/bin/env bash
# Builds the drivers of the cases, with their stand-ins, into target/review/.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
out="$here/../target/review"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_DISABLE_BOOST_COROUTINE)
libraries=(-lboost_context -lboost_json -pthread)
"${CXX:-c++}" "${flags[@]}" -c "$here/common/loopback.cpp" -o "$out/loopback.o"
for driver in "$here"/[1-5]/driver.cpp; do
  [ -e "$driver" ] || continue
  name="case_$(basename "$(dirname "$driver")")"
  "${CXX:-c++}" "${flags[@]}" "$driver" "$out/loopback.o" -o "$out/$name" \
    "${libraries[@]}"
done
