#!/usr/bin/env bash
# A zone is cut off silently, first one without the control leader and then, by
# way of a hand-over, the one with it: repeatable requests go on in every zone,
# a version under roll-out that is withdrawn gets no work in the cut-off zone,
# a change of a steady version is not reported accepted, orders there are
# refused as not run, and nothing reverts after the heal.
cut_zone_index=0
first_byte_ms=2000
between_reads_ms=1000
. "$(dirname "$0")/fleet_test.sh"
start_fleet
ctl --stages=1.0 --wait rollout start scholar@2 || fail "roll-out"

leader_zone() { ctl --json status | grep -o '"leader":"[^"]*"' | head -1 | cut -d'"' -f4; }
inside() { port 0 0; }
outside() { echo "$(port 1 0),$(port 2 0)"; }
chat() { # ports, extra
  load --targets="$1" --kind=chat --tokens=3 --concurrency=4 --requests=200 \
    --model="${2:-auto}" --resends="${3:-0}"
}

check_cut() { # round
  # The first seconds may meet connections that have gone silent.
  sleep 4
  local report
  report=$(chat "$(inside)")
  echo "round $1, inside: $report"
  expect_all_answered "$report"
  report=$(chat "$(outside)")
  echo "round $1, outside: $report"
  expect_all_answered "$report"
  # An order needs a ledger majority: inside it is refused, truthfully.
  report=$(load --targets="$(inside)" --kind=order --id_prefix="cut-$1" \
    --requests=2 --concurrency=2)
  echo "round $1, orders inside: $report"
  [ "$(field refused_not_run "$report")" = 2 ] || fail "orders inside: $report"
  recorded_orders | grep "^cut-$1-" && fail "a refused order has run" || true
}

echo "leader before the cut: $(leader_zone)"
cut_network
check_cut 1
# A withdrawal of a version under roll-out is accepted although a zone is away.
ctl --wait --timeout_s=8 rollout withdraw scholar@2 || fail "withdrawal"
before=$(cat "$run"/logs/entry-akl-a.log | grep -c 'target=scholar@2' || true)
chat "$(inside)" >/dev/null
after=$(cat "$run"/logs/entry-akl-a.log | grep -c 'target=scholar@2' || true)
[ "$before" = "$after" ] || fail "the cut-off zone used a withdrawn version"
# A change of a steady version is decided, but never accepted, meanwhile.
code=0
ctl --wait --timeout_s=2 rollout withdraw scholar@1 --successor=draft@1 || code=$?
[ "$code" -eq 3 ] || fail "expected exit code 3 for a change not accepted, got $code"
revision=$(ctl --json config show | grep -o '"revision":[0-9]*' | head -1)

# An entry that restarts inside the cut follows what its zone knows.
stop entry-akl-a
start entry-akl-a lovagedale-entry
wait_for entry-akl-a is_ready "$(port 0 1)"

heal_network
wait_for "acceptance after the heal" ctl --wait --timeout_s=2 rollout withdraw \
  draft@1 --successor=scholar@1 --change_id=after-heal
for index in "${!zones[@]}"; do
  curl -sf "http://127.0.0.1:$(port "$index" 1)/v1/status"
  echo
done
[ -n "$revision" ]
ctl --wait version restore draft@1
ctl --wait version restore scholar@1

# Now with the leader inside: the other replicas are restarted until the
# leader is the one of the zone that is cut.
for attempt in 1 2 3 4 5 6 7 8; do
  [ "$(leader_zone)" = control-akl-a ] && break
  name=$(leader_zone)
  stop "$name"
  start "$name" lovagedale-control
  sleep 1
done
[ "$(leader_zone)" = control-akl-a ] || fail "no hand-over to control-akl-a"
cut_network
check_cut 2
ctl --wait --timeout_s=3 rollout pause scholar@2 2>/dev/null || true
new_leader=$(leader_zone)
echo "leader during the cut: $new_leader"
[ "$new_leader" != control-akl-a ] || fail "the isolated leader still answers"
heal_network
wait_for "acceptance" ctl --wait --timeout_s=2 version restore scholar@2 --change_id=last
