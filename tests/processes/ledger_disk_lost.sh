#!/usr/bin/env bash
# Under load each ledger in turn is killed and loses its disk, as soon as the
# one before has its bills back: every answered request keeps its one bill.
. "$(dirname "$0")/fleet_test.sh"
start_fleet

load --targets="$(entry_ports)" --kind=chat --tokens=2 --concurrency=12 \
  --rate=200 --requests="${requests:-1600}" >"$run/load.json" &
load_id=$!
sleep 0.6

status() { curl -sf "http://127.0.0.1:$(port "$1" 21)/v1/status"; }
has_all_bills() { status "$1" | grep -q '"has_all_bills":true'; }
is_voter() { # zone index
  status "$1" | grep -q "\"name\":\"ledger-${zones[$1]}\",\"voter\":true"
}
for index in "${!zones[@]}"; do
  name="ledger-${zones[$index]}"
  crash "$name"
  rm -rf "${run:?}/data/$name"
  sleep 0.3
  start "$name" lovagedale-ledger
  wait_for "$name's bills" has_all_bills "$index"
  wait_for "$name's vote" is_voter "$index"
done
wait "$load_id"
report=$(cat "$run/load.json")
echo "$report"
expect_all_answered "$report"
sleep 1.2 # The ledgers exchange their records ten times a second.
for index in "${!zones[@]}"; do
  curl -sf "http://127.0.0.1:$(port "$index" 21)/v1/bills" >"$run/bills.json"
  bills=$(grep -o '"request_id"' "$run/bills.json" | wc -l)
  twice=$(grep -o '"request_id":"[^"]*"' "$run/bills.json" | sort | uniq -d | wc -l)
  echo "ledger-${zones[$index]}: $bills bills"
  [ "$twice" -eq 0 ] || fail "$twice requests have two bills"
  [ "$bills" -eq "$(field answered "$report")" ] ||
    fail "$(field answered "$report") answers, $bills bills"
done
