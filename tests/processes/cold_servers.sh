#!/usr/bin/env bash
# The operator's document has a limit for cold servers. Servers that the list shows
# as cold, and then those of a zone whose evacuation is withdrawn, get at most 1.5
# times the limit and 5 requests in any second from three entries, and more than half
# of the limit.
#
# Guards against a limit that is lost on its way from the document to the entries.
. "$(dirname "$0")/fleet_test.sh"
bin="$root/build/platform"
tests="$root/build/tests"
limit=11
at_most=$((limit * 3 / 2 + 5))
per_second=40 # from each entry
zone="${zones[1]}"

list_port=$(port 0 60)
control_port=$(port 0 11)
rpc_port=$(port 0 10)
servers=()
for number in 0 1; do
  servers+=("s$number:engines:$zone:$(port 1 $((40 + number)))")
done
"$tests/listed_servers" "$list_port" "${servers[@]}" >"$run/logs/servers.out" 2>&1 &
process_ids[servers]=$!
cat >"$run/control.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"127.0.0.1:$control_port",
 "zone":"${zones[0]}","host":"127.0.0.1","rpc_port":$rpc_port,
 "data_folder":"$run/data/control","seeds":["127.0.0.1:$control_port"],
 "bootstrap":true,"log_file":"$run/logs/control.log"}}
JSON
start control lovagedale-platform-control
cat >"$run/config.json" <<JSON
{"version":1,"routes":[{"name":"read","host":"h.example","path_prefix":"/read/",
 "route_type":"idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":0,
 "backend":"engines","max_attempts":3,"public":true}],
 "backends":[{"name":"engines","max_connections":500,"cold_start_s":3,"cold_per_s":$limit}],
 "limits":{"idle_timeout_ms":15000},"tenants":[]}
JSON
api="http://127.0.0.1:$control_port/api"
put_config() { curl -sf -m 2 -X PUT -d "@$run/config.json" "$api/config"; }
wait_for "the configuration" put_config >/dev/null
for index in "${!zones[@]}"; do
  cat >"$run/entry-$index.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"entry-$index",
 "zone":"${zones[$index]}","callers":"127.0.0.1:$(port "$index" 0)",
 "ready":"127.0.0.1:$(port "$index" 1)","metrics_port":$(port "$index" 2),
 "control_port":$rpc_port,"seeds":["127.0.0.1:$control_port"],
 "log_file":"$run/logs/entry-$index.log"}}
JSON
  start "entry-$index" lovagedale-platform-entry
done
ready() { curl -sf -m 1 "http://127.0.0.1:$(port "$1" 1)/api/readyz" >/dev/null; }
for index in "${!zones[@]}"; do wait_for "entry-$index" ready "$index"; done

servers() { curl -sf -m 2 "http://127.0.0.1:$list_port/$1"; }
send_from_all() { # seconds
  senders=()
  for index in "${!zones[@]}"; do
    "$tests/route_callers" "$(port "$index" 0)" /read/x "$per_second" "$1" \
      >"$run/callers-$index.json" &
    senders+=($!)
  done
}
expect_bounded() { # what, seconds that were counted
  local counts
  counts=$(servers seconds)
  echo "$1: $counts"
  [ "$(field most "$counts")" -le "$at_most" ] ||
    fail "$1: more than $at_most requests in a second"
  [ "$(field total "$counts")" -ge $((limit * $2 / 2)) ] ||
    fail "$1: hardly used"
}

servers cold/20000 >/dev/null
sleep 3
servers count/0 >/dev/null
send_from_all 5
sleep 4.5
expect_bounded "listed as cold" 4
wait "${senders[@]}"
grep -q "server_cold server=s0 per_second=$limit .*reason=listed" "$run/logs/entry-0.log" ||
  fail "no log line of the cold server"

servers cold/0 >/dev/null
curl -sf -m 2 -X POST "$api/drain/$zone" >/dev/null || fail "the order was not taken"
sleep 4
servers count/0 >/dev/null
send_from_all 4
sleep 1
echo "evacuated: $(servers seconds)"
[ "$(field total "$(servers seconds)")" -eq 0 ] || fail "an evacuated zone got requests"
curl -sf -m 2 -X DELETE "$api/drain/$zone" >/dev/null || fail "the order was not taken"
sleep 2.5
expect_bounded "evacuation withdrawn" 2
wait "${senders[@]}"
grep -q "server_cold server=s0 .*reason=evacuation_withdrawn" "$run/logs/entry-0.log" ||
  fail "no log line of the cold server"
