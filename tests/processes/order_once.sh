#!/usr/bin/env bash
# Keyed orders under SIGKILL of entries, ledgers and services: each runs at
# most once, a refusal that says "not run" is true, each answered order has
# exactly one bill.
. "$(dirname "$0")/fleet_test.sh"
start_fleet

load --targets="$(entry_ports)" --kind=order --id_prefix=order \
  --requests="${orders:-1500}" --concurrency=16 --rate=150 --resends=6 \
  --records="$run/records" >"$run/orders.json" &
load_id=$!

# Kills in a fixed order, at moments that the load decides, until it ends.
victims=(entry-akl-a ledger-akl-b entry-akl-b ledger-akl-a entry-akl-c
  ledger-akl-c service-akl-b)
kills=0
while kill -0 "$load_id" 2>/dev/null; do
  victim=${victims[kills++ % ${#victims[@]}]}
  if [[ $victim == service-* ]]; then
    # Its record would be lost with it, so it is frozen instead of killed.
    kill -STOP "${process_ids[$victim]}"
    sleep 1
    kill -CONT "${process_ids[$victim]}"
    continue
  fi
  crash "$victim"
  sleep 0.4
  start "$victim" "lovagedale-${victim%%-*}"
  sleep 0.6
done
wait "$load_id"
cat "$run/orders.json"
sleep 1.5 # Ledgers exchange their records.

recorded_orders >"$run/ran"
awk '$2 > 1 { print; bad = 1 } END { exit bad }' "$run/ran" ||
  fail "an order ran more than once"
# Orders all of whose tries said "not run" must not be in any record.
awk 'NR == FNR { ran[$1] = 1; next }
     /answered=0/ && /maybe_run=0/ && ran[$1] { print; bad = 1 }
     END { exit bad }' "$run/ran" "$run/records" ||
  fail "an order ran although its refusals said that it was not run"
awk 'NR == FNR { ran[$1] = 1; next }
     /answered=1/ && !ran[$1] { print; bad = 1 }
     END { exit bad }' "$run/ran" "$run/records" ||
  fail "an order was answered without having run"
answered=$(grep -c 'answered=1' "$run/records")
[ "$answered" -gt 0 ] || fail "no order was answered"

# One bill per order that ran; compared by number, as ids are the entries'.
ctl bills >"$run/bills.json"
billed=$(grep -o '"request_id":"[^"]*"' "$run/bills.json" | sort | uniq -d | wc -l)
[ "$billed" -eq 0 ] || fail "$billed requests have two bills"
bills=$(grep -o '"request_id"' "$run/bills.json" | wc -l)
ran=$(wc -l <"$run/ran")
[ "$bills" -ge "$answered" ] || fail "$answered answered orders, $bills bills"
[ "$bills" -le "$ran" ] || fail "$ran orders ran, $bills bills"
echo "orders answered $answered, ran $ran, bills $bills, kills and freezes $kills"
