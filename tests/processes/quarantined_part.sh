#!/usr/bin/env bash
# Requests whose prompts have one bad part crash their servers while the sound
# requests that share the other parts pause. As soon as sound requests come again,
# they are answered, those with the bad part are refused, and no server crashes.
#
# Guards against a sound part of prompts that stays quarantined as none of its
# requests is sent, and against a bad one that goes on crashing servers.
. "$(dirname "$0")/fleet_test.sh"
bin="$root/build/platform"
list_port=$(port 0 60)
control_port=$(port 0 11)
rpc_port=$(port 0 10)

servers=()
for index in "${!zones[@]}"; do
  for number in 0 1 2 3; do
    servers+=("s$index$number:engines:${zones[$index]}:$(port "$index" $((40 + number)))")
  done
done
"$root/build/tests/listed_servers" "$list_port" "${servers[@]}" >"$run/logs/servers.out" 2>&1 &
process_ids[servers]=$!

cat >"$run/control.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"127.0.0.1:$control_port",
 "zone":"${zones[0]}","host":"127.0.0.1","rpc_port":$rpc_port,
 "data_folder":"$run/data/control","seeds":["127.0.0.1:$control_port"],
 "bootstrap":true,"log_file":"$run/logs/control.log"}}
JSON
start control lovagedale-platform-control
for index in 0 1; do
  cat >"$run/entry-$index.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"entry-$index",
 "zone":"${zones[$index]}","callers":"127.0.0.1:$(port "$index" 0)",
 "ready":"127.0.0.1:$(port "$index" 1)","metrics_port":$(port "$index" 2),
 "entry_port":$(port "$index" 3),
 "control_port":$rpc_port,"seeds":["127.0.0.1:$control_port"],
 "log_file":"$run/logs/entry-$index.log"}}
JSON
done
cat >"$run/config.json" <<JSON
{"version":1,"routes":[{"name":"stream","host":"h.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":3000,"target_latency_ms":500,"priority":0,"backend":"engines","max_attempts":3,"public":true,"itl_target_ms":800}],
 "backends":[{"name":"engines","health_check_path":"/healthz","max_connections":500}],
 "limits":{"idle_timeout_ms":15000},"tenants":[]}
JSON
put_config() {
  curl -sf -m 2 -X PUT -d "@$run/config.json" "http://127.0.0.1:$control_port/api/config"
}
wait_for "the configuration" put_config >/dev/null
for index in 0 1; do start "entry-$index" lovagedale-platform-entry; done
ready() { curl -sf -m 1 "http://127.0.0.1:$(port "$1" 1)/api/readyz" >/dev/null; }
for index in 0 1; do wait_for "entry-$index" ready "$index"; done

# Sends a request with a part and a body of its own, in turn to both entries;
# prints the status and the answer.
number=0
call() { # shared parts
  number=$((number + 1))
  curl -s -m 5 -w '%{http_code}' -H "Host: h.example" \
    -H "X-Lovagedale-Request-Id: r$number" -H "X-Lovagedale-Deadline-Ms: 3000" \
    -H "X-Lovagedale-Token-Usage: 300,20" \
    -H "X-Lovagedale-Prefix-Hash: $1,5$(printf '%04x' "$number"):50" -d "text $number" \
    "http://127.0.0.1:$(port $((number % 2)) 0)/stream/x" >"$run/answer" || true
}
sound() {
  call "a1:172,c3:100"
  grep -q '200$' "$run/answer"
}
# With the bad part; succeeds if the request was refused for it.
bad_is_refused() {
  call "a1:172,dead1:40,c3:100"
  grep -q '"quarantined".*503$' "$run/answer"
}
crashes() {
  field crashes "$(curl -sf -m 2 "http://127.0.0.1:$list_port/record")"
}

for ((i = 0; i < 4; ++i)); do sound || fail "a sound request: $(cat "$run/answer")"; done
wait_for "a quarantine" bad_is_refused
echo "$(crashes) crashes until a request was refused"
wait_for "a sound request that is answered" sound
wait_for "a request with the bad part that is refused" bad_is_refused
# Both entries have the quarantine when the leader has answered their heartbeats.
sleep 2
before=$(crashes)
for ((i = 0; i < 20; ++i)); do
  sound || fail "a sound request, afterwards: $(cat "$run/answer")"
  bad_is_refused || fail "a request with the bad part: $(cat "$run/answer")"
done
[ "$(crashes)" -eq "$before" ] || fail "$(crashes) crashes, $before before"
grep -h "quarantine" "$run"/logs/control.log | cut -c1-200
