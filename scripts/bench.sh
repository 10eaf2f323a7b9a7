#!/usr/bin/env bash
# Measures, prints each figure beside its bound and its baselines, and writes
# JSON to build/bench/.
#   bench.sh             everything
#   bench.sh --check     only bounds that do not depend on the clock (for CI)
#   bench.sh decisions | micro | capacity | entry | overload
#   bench.sh --plot      draws build/bench/*.svg from the decisions' figures
# Bounds come from stated targets, never from the figures.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
out="$root/build/bench"
mkdir -p "$out"
bench="$root/build/benchmark"

decisions() { "$bench/decisions" --json="$out/decisions.json"; }

# Median time of a benchmark against a bound in nanoseconds.
micro() {
  "$bench/micro" --benchmark_repetitions=5 --benchmark_min_time=0.1 \
    --benchmark_report_aggregates_only=true \
    --benchmark_out="$out/micro.json" --benchmark_out_format=json |
    grep -E 'median|Benchmark'
  check_median PlaceRequest/600 5000
  check_median DecideRequest/600 10000
  check_median ChoosePromptServer/600 10000
}

check_median() { # benchmark, bound in ns
  local value
  value=$(grep -A 12 "\"name\": \"$1_median\"" "$out/micro.json" |
    grep '"cpu_time"' | head -1 | grep -o '[0-9.e+]*,' | tr -d ,)
  awk -v name="$1" -v value="$value" -v bound="$2" 'BEGIN {
    met = value <= bound
    printf "%-40s %10.0f ns  <= %d %s\n", name, value, bound, met ? "met" : "MISSED"
    exit !met }'
}

capacity() { "$bench/capacity" "$@" | tee "$out/capacity.txt"; }

# The same load through an entry and directly to a stand-in, in one run.
entry() { "$root/scripts/bench_entry.sh" | tee "$out/entry.txt"; }
overload() { "$root/scripts/bench_overload.sh" | tee "$out/overload.txt"; }

plot() {
  "$bench/decisions" --curves="$out"
  gnuplot -e "folder='$out'" "$root/scripts/plot.gnuplot"
  ls "$out"/*.svg
}

case "${1:-all}" in
  --check)
    decisions
    capacity --sizes_only
    ;;
  --plot) plot ;;
  decisions | micro | capacity | entry | overload) "$1" ;;
  all)
    failed=0
    for part in decisions micro capacity entry overload; do
      echo "== $part"
      "$part" || failed=1
    done
    exit "$failed"
    ;;
  *)
    echo "unknown argument $1; allowed: --check --plot decisions micro capacity entry overload" >&2
    exit 2
    ;;
esac
