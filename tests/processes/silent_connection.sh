#!/usr/bin/env bash
# Connections to the servers of another zone go silent for good while new ones
# work: their requests are answered elsewhere, and no late answer reaches
# anyone else.
cut_zone_index=0
first_byte_ms=500
between_reads_ms=400
engines_per_zone=1
relayed_engines=true
. "$(dirname "$0")/fleet_test.sh"
start_fleet

# With the other engines away, all requests go to the relayed one.
stop engine-akl-b-0
stop engine-akl-c-0
ports="$(port 1 0),$(port 2 0)"
report=$(load --targets="$ports" --kind=stream --tokens=5 --concurrency=8 --requests=100)
expect_zero failed "$report"
load --targets="$ports" --kind=stream --tokens=60 --concurrency=16 \
  --requests=200 --resends=4 >"$run/load.json" &
load_id=$!
sleep 0.4
cut_network
heal_network
wait "$load_id"
report=$(cat "$run/load.json")
echo "$report"
expect_all_answered "$report"
grep -h 'server_failed.*timeout' "$run"/logs/entry-akl-b.log | head -3
grep -hq 'server_failed.*timeout' "$run"/logs/entry-akl-b.log ||
  fail "no silent connection was met"
