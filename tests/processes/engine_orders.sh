#!/usr/bin/env bash
# Engines that hold two of three versions follow the demand by control's orders,
# while the control leader is killed in the middle of a load: every version
# stays available in every zone, callers see no failure, and later orders carry
# a greater fencing number.
engines_per_zone=3
. "$(dirname "$0")/fleet_test.sh"
loaded_lists=('"draft@1","scholar@1"' '"draft@1","scholar@2"' '"draft@1","scholar@1"')
write_orders_configuration() {
  write_configuration
  sed -i 's|"slots":64,"versions"|"slots":64,"max_loaded":2,"versions"|g; s|"customers"|"weight_store":{"loads_at_once":2},&|' \
    "$run/configuration.json"
}
start_standins() {
  local index number
  for index in "${!zones[@]}"; do
    for ((number = 0; number < engines_per_zone; ++number)); do
      # The last engine of each zone does not check fencing numbers.
      write_standin_settings "$(engine_name "$index" "$number")" engine \
        "$(port "$index" $((30 + number)))" ",\"slots\":64,\"max_loaded\":2,\"load_ms\":700,\"checks_fencing\":$([ "$number" -lt 2 ] && echo true || echo false),\"loaded\":[${loaded_lists[$number]}]"
      start "$(engine_name "$index" "$number")" lovagedale-standin
    done
    start_service "$index"
  done
}
write_replica_settings control 10 11
write_replica_settings ledger 20 21
write_entry_settings
write_ctl_settings
write_orders_configuration
start_standins
start_replicas new
start_entries
wait_replicas_ready
wait_for "the configuration" ctl --wait config apply "$run/configuration.json"
wait_entries_ready

held() { # zone index, number: versions held
  curl -sf -m 2 "http://127.0.0.1:$(port "$1" $((30 + $2)))/load" |
    grep -o '"versions":\[[^]]*\]'
}
copies() { # zone index, version
  local number count=0
  for ((number = 0; number < engines_per_zone; ++number)); do
    held "$1" "$number" | grep -q "\"$2\"" && count=$((count + 1))
  done
  echo "$count"
}
three_copies() { [ "$(copies 0 scholar@2)" -ge 3 ] && [ "$(copies 2 scholar@2)" -ge 3 ]; }
leader() { ctl --json status | grep -o '"leader":"[^"]*"' | head -1 | cut -d'"' -f4; }

# All demand turns to scholar@2, which one engine of each zone holds.
load --targets="$(entry_ports)" --model=scholar@2 --tokens=4 --concurrency=12 \
  --seconds=14 >"$run/load.json" &
load_id=$!
wait_for "the first order" grep -q 'engine_order.*action=load' \
  "$run"/logs/control-akl-a.log "$run"/logs/control-akl-b.log "$run"/logs/control-akl-c.log
name=$(leader)
crash "$name"
start "$name" lovagedale-control
wait_for "three copies in each zone" three_copies
for index in "${!zones[@]}"; do
  for version in draft@1 scholar@1 scholar@2; do
    [ "$(copies "$index" "$version")" -ge 1 ] ||
      fail "zone ${zones[$index]} lost $version"
  done
done
wait "$load_id"
report=$(cat "$run/load.json")
echo "$report"
expect_all_answered "$report"
cat "$run"/logs/control-*.log | grep engine_order | sort |
  sed 's/.*engine_order //' | cut -c1-120
fences=$(cat "$run"/logs/control-*.log | grep engine_order | sort |
  grep -o 'fence=[0-9]*' | cut -d= -f2)
[ "$fences" = "$(sort -n <<<"$fences")" ] || fail "a fencing number went back"
[ "$(sort -u <<<"$fences" | wc -l)" -ge 2 ] || fail "no order after the kill"
