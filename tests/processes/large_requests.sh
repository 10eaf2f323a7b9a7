#!/usr/bin/env bash
# An entry of the users' smallest size gets as many of the largest requests at once as
# their busiest day has. Each is answered, with 200 or a refusal, and the entry stays
# within its memory.
#
# Guards against an entry that runs out of memory, and ends with the requests of all
# callers, because each request is bounded and their sum is not.
. "$(dirname "$0")/fleet_test.sh"
bin="${current_programs:-$root/build/platform}"
tests="${current_tests:-$root/build/tests}"
requests=42
request_bytes=$((4 << 20))
max_memory_kb=$((260 << 10))
list_port=$(port 0 60)
control_port=$(port 0 11)
rpc_port=$(port 0 10)

servers=()
for index in "${!zones[@]}"; do
  servers+=("s$index:engines:${zones[$index]}:$(port "$index" 40)")
done
"$tests/listed_servers" "$list_port" "${servers[@]}" >"$run/logs/servers.out" 2>&1 &
process_ids[servers]=$!
cat >"$run/control.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"127.0.0.1:$control_port",
 "zone":"${zones[0]}","host":"127.0.0.1","rpc_port":$rpc_port,
 "data_folder":"$run/data/control","seeds":["127.0.0.1:$control_port"],
 "bootstrap":true,"log_file":"$run/logs/control.log"}}
JSON
cat >"$run/entry.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"entry",
 "zone":"${zones[0]}","callers":"127.0.0.1:$(port 0 0)",
 "ready":"127.0.0.1:$(port 0 1)","metrics_port":$(port 0 2),
 "control_port":$rpc_port,"seeds":["127.0.0.1:$control_port"],
 "log_file":"$run/logs/entry.log"}}
JSON
cat >"$run/config.json" <<JSON
{"version":1,"routes":[{"name":"slow","host":"h.example","path_prefix":"/slow/",
 "route_type":"idempotent","timeout_ms":20000,"target_latency_ms":5000,"priority":0,
 "backend":"engines","max_attempts":3,"public":true}],
 "backends":[{"name":"engines","health_check_path":"/healthz","max_connections":500}],
 "limits":{"max_body_bytes":$request_bytes,"idle_timeout_ms":15000},"tenants":[]}
JSON
start control lovagedale-platform-control
put_config() {
  curl -sf -m 2 -X PUT -d "@$run/config.json" "http://127.0.0.1:$control_port/api/config"
}
wait_for "the configuration" put_config >/dev/null
start entry lovagedale-platform-entry
ready() { curl -sf -m 1 "http://127.0.0.1:$(port 0 1)/api/readyz" >/dev/null; }
wait_for "the entry" ready

head -c "$request_bytes" /dev/zero >"$run/body"
callers=()
for ((number = 0; number < requests; ++number)); do
  curl -s -m 30 -o /dev/null -w '%{http_code}\n' -X POST -H "Host: h.example" \
    -H "X-Lovagedale-Request-Id: r$number" -H "X-Lovagedale-Deadline-Ms: 20000" \
    -H "Expect:" --data-binary "@$run/body" "http://127.0.0.1:$(port 0 0)/slow/x" \
    >"$run/status-$number" &
  callers+=("$!")
done
wait "${callers[@]}" || true
peak_kb=$(awk '/^VmHWM:/ { print $2 }' "/proc/${process_ids[entry]}/status")
answered=$(cat "$run"/status-* | grep -c '^200$' || true)
refused=$(cat "$run"/status-* | grep -c '^503$' || true)
echo "$answered answered, $refused refused, peak of the entry $((peak_kb >> 10)) MB"
[ "$((answered + refused))" -eq "$requests" ] || fail "some requests got no whole answer"
[ "$peak_kb" -le "$max_memory_kb" ] || fail "the entry held more than $((max_memory_kb >> 10)) MB"
