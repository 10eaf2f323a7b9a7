#!/usr/bin/env bash
# Every process is stopped by SIGTERM and started again under load; no caller
# sees a cut, wrong or lost answer. Set rounds for more than one round.
drain_delay_ms=300
. "$(dirname "$0")/fleet_test.sh"
start_fleet

rounds=${rounds:-1}
# The load goes on until all stops are done.
seconds=$((600 * rounds))
"$bin/lovagedale-load" --targets="$(entry_ports)" --kind=stream --tokens=60 --concurrency=24 \
  --seconds="$seconds" --resends=20 >"$run/streams.json" &
streams=$!
"$bin/lovagedale-load" --targets="$(entry_ports)" --kind=order --id_prefix=order \
  --concurrency=4 --rate=60 --seconds="$seconds" --resends=20 \
  >"$run/orders.json" &
orders=$!

restart() { # name, program
  stop "$1"
  stops=$((stops + 1))
  start "$1" "$2"
}
stops=0
restart_fleet() {
  for index in "${!zones[@]}"; do
    restart "entry-${zones[$index]}" lovagedale-entry
    wait_for "entry-${zones[$index]}" is_ready "$(port "$index" 1)"
  done
  for kind in ledger control; do
    for index in "${!zones[@]}"; do
      restart "$kind-${zones[$index]}" "lovagedale-$kind"
      wait_for "$kind-${zones[$index]}" is_ready \
        "$(port "$index" "$([ $kind = ledger ] && echo 21 || echo 11)")"
    done
  done
  for index in "${!zones[@]}"; do
    restart "$(engine_name "$index" 0)" lovagedale-standin
  done
}
sleep 0.5
for ((round = 0; round < rounds; ++round)); do restart_fleet; done
echo "$stops processes stopped"
kill -0 "$streams" "$orders" || fail "the load ended before the stops"
kill -TERM "$streams" "$orders"
wait "$streams" "$orders"
for report in "$(cat "$run/streams.json")" "$(cat "$run/orders.json")"; do
  echo "$report"
  expect_all_answered "$report"
done
[ "$(field answered "$(cat "$run/streams.json")")" -gt 100 ] || fail "too little load"
