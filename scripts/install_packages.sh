#!/usr/bin/env bash
# Installs the Debian packages that building, testing and plotting need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache lld clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev libboost-context1.81-dev
  libboost-coroutine1.81-dev libcereal-dev libabsl-dev liblog4cplus-dev
  doctest-dev librapidcheck-dev libbenchmark-dev libxxhash-dev
  prometheus-cpp-dev gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed"; then
    missing+=("$package")
  fi
done
[ "${#missing[@]}" -eq 0 ] && exit 0

run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${run[@]}" apt-get update -q
"${run[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
