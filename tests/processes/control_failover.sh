#!/usr/bin/env bash
# The control leader is killed again and again; each time another one decides a
# change, and a resent change gets its first answer. Prints the times taken.
. "$(dirname "$0")/fleet_test.sh"
start_fleet

leader() { ctl --json status | grep -o '"leader":"[^"]*"' | head -1 | cut -d'"' -f4; }
now_ms() { date +%s%3N; }
for round in $(seq "${rounds:-6}"); do
  name=$(leader)
  [ -n "$name" ] || fail "no leader"
  crash "$name"
  start_ms=$(now_ms)
  wait_for "a decision" ctl rollout withdraw draft@1 --successor=scholar@1 \
    --change_id="round-$round" --expect="$((2 * round - 1))"
  echo "round $round: $name killed, decided after $(($(now_ms) - start_ms)) ms"
  start "$name" lovagedale-control
  first=$(ctl rollout withdraw draft@1 --successor=scholar@1 \
    --change_id="round-$round" --expect="$((2 * round - 1))")
  [ "$first" = "decided: revision $((2 * round))" ] || fail "resend: $first"
  wait_for "the next change" ctl version restore draft@1 \
    --change_id="restore-$round" --expect="$((2 * round))"
done
wait_for "equal revisions" ctl --wait --timeout_s=2 version restore draft@1 --change_id=last
