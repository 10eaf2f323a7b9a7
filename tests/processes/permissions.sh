#!/usr/bin/env bash
# Under load, with an entry killed and started again in between: once a change
# that takes a version from its customer, or withdraws it, is accepted, nothing
# of it is dispatched any more; and a server that leaves gets no new work after
# three seconds, while its streams end whole.
. "$(dirname "$0")/fleet_test.sh"
start_fleet

routed() { cat "$run"/logs/entry-*.log | grep -c "$1" || true; }
# Runs load, makes a change, and checks that no line matching $1 follows it.
check_stops() { # pattern, change...
  local pattern=$1 before after
  shift
  load --targets="$(entry_ports)" --model=scholar --tokens=3 --concurrency=8 \
    --seconds=4 --resends=3 >"$run/load.json" &
  local load_id=$!
  sleep 0.6
  crash entry-akl-b
  start entry-akl-b lovagedale-entry
  wait_for entry-akl-b is_ready "$(port 1 1)"
  "$@" || fail "the change was not accepted: $*"
  before=$(routed "$pattern")
  [ "$before" -gt 0 ] || fail "nothing matched $pattern before the change"
  wait "$load_id"
  after=$(routed "$pattern")
  cat "$run/load.json"
  [ "$before" = "$after" ] ||
    fail "$((after - before)) dispatches of $pattern after the change was accepted"
  for name in cut wrong; do expect_zero "$name" "$(cat "$run/load.json")"; done
}

remove_permission() {
  sed 's|"versions":\["draft@1","scholar@1","scholar@2"\],|"versions":["draft@1","scholar@1"],|' \
    "$run/configuration.json" >"$run/without.json"
  cmp -s "$run/configuration.json" "$run/without.json" && fail "nothing removed"
  ctl --wait config apply "$run/without.json"
}
check_stops 'target=scholar@2' remove_permission
check_stops 'target=scholar@1' ctl --wait rollout withdraw scholar@1 --successor=draft@1
ctl --wait version restore scholar@1

# The platform lists a server as leaving; it says nothing of that itself.
write_standin_settings hosts hosts "$(port 0 61)" ""
start hosts lovagedale-standin
sed 's|"customers"|"host_list":{"host":"127.0.0.1","port":'"$(port 0 61)"'},&|' \
  "$run/configuration.json" >"$run/with_list.json"
ctl --wait config apply "$run/with_list.json"
load --targets="$(port 1 0)" --model=scholar --tokens=3 --concurrency=4 \
  --seconds=6 >"$run/load.json" &
load_id=$!
sleep 1
curl -sf -X POST "http://127.0.0.1:$(port 0 61)/hosts/engine-akl-b-0/leaving"
sleep 3
before=$(routed 'server=engine-akl-b-0')
[ "$before" -gt 0 ] || fail "engine-akl-b-0 had no work before"
wait "$load_id"
[ "$before" = "$(routed 'server=engine-akl-b-0')" ] ||
  fail "a server that the platform lists as leaving got new work"
expect_all_answered "$(cat "$run/load.json")"

# A server leaves in the middle of long streams.
load --targets="$(entry_ports)" --kind=stream --model=scholar --tokens=900 \
  --concurrency=12 --requests=24 >"$run/streams.json" &
streams=$!
sleep 0.5
kill -TERM "${process_ids[engine-akl-a-0]}"
sleep 3
before=$(routed 'server=engine-akl-a-0')
wait "$streams"
after=$(routed 'server=engine-akl-a-0')
cat "$run/streams.json"
[ "$before" = "$after" ] || fail "the leaving server got new work"
expect_all_answered "$(cat "$run/streams.json")"
code=0
wait "${process_ids[engine-akl-a-0]}" || code=$?
unset "process_ids[engine-akl-a-0]"
[ "$code" -eq 0 ] || fail "the leaving server ended with exit code $code"
