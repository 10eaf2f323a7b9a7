#!/usr/bin/env bash
# What an entry adds: the same load directly to stand-ins and through one
# entry, alternating in one run, at 1, 32 and 256 concurrent requests; and the
# most short requests a second on two traffic threads.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
engines_per_zone=3
only_zone=akl-a
engine_slots=1000
first_token_ms=${first_token_ms:-2}
token_ms=${token_ms:-4}
# shellcheck source=tests/processes/fleet_test.sh
. "$root/tests/processes/fleet_test.sh"

start_fleet

direct="$(port 0 30),$(port 0 31),$(port 0 32)"
through="$(port 0 0)"
run_load() { # ports, concurrency, extra...
  local ports=$1 concurrency=$2
  shift 2
  load --targets="$ports" --model=scholar@1 --concurrency="$concurrency" \
    --threads=2 --seconds=3 "$@"
}
compare() { # kind, concurrency, tokens
  local a b
  a=$(run_load "$direct" "$2" --kind="$1" --tokens="$3")
  b=$(run_load "$through" "$2" --kind="$1" --tokens="$3")
  printf '%-7s %4d at once: first byte p50 %.2f -> %.2f ms, p99 %.2f -> %.2f ms; whole p50 %.2f -> %.2f ms, p99 %.2f -> %.2f ms; %.0f -> %.0f /s\n' \
    "$1" "$2" \
    "$(field first_byte_p50_ms "$a")" "$(field first_byte_p50_ms "$b")" \
    "$(field first_byte_p99_ms "$a")" "$(field first_byte_p99_ms "$b")" \
    "$(field p50_ms "$a")" "$(field p50_ms "$b")" \
    "$(field p99_ms "$a")" "$(field p99_ms "$b")" \
    "$(field per_second "$a")" "$(field per_second "$b")"
}
for concurrency in 1 32 256; do compare stream "$concurrency" 40; done
for concurrency in 1 32 256; do compare chat "$concurrency" 1; done
# At half of the 20,000 short requests a second that an entry is to carry.
half_direct=$(run_load "$direct" 512 --kind=chat --tokens=1 --rate=10000)
half_through=$(run_load "$through" 512 --kind=chat --tokens=1 --rate=10000)
awk -v a="$(field p99_ms "$half_direct")" -v b="$(field p99_ms "$half_through")" 'BEGIN {
  printf "p99 added at 10,000 short requests a second: %.2f ms  <= 1 %s\n", b - a, (b - a <= 1 ? "met" : "MISSED") }'
most=$(run_load "$through" 256 --kind=chat --tokens=1)
awk -v n="$(field per_second "$most")" 'BEGIN {
  printf "short requests a second on 2 traffic threads: %.0f  >= 20000 %s\n", n, (n >= 20000 ? "met" : "MISSED") }'
cpu() { awk '{ print $14 + $15 }' "/proc/${process_ids[$1]}/stat"; }
before=$(cpu entry-akl-a)
ledger_before=$(cpu ledger-akl-a)
report=$(run_load "$through" 256 --kind=chat --tokens=1)
awk -v entry="$(($(cpu entry-akl-a) - before))" \
  -v ledger="$(($(cpu ledger-akl-a) - ledger_before))" \
  -v answered="$(field answered "$report")" 'BEGIN {
  printf "processor time a request: entry %.1f us, ledger %.1f us\n",
    entry * 10000 / answered, ledger * 10000 / answered }'
