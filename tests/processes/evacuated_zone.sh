#!/usr/bin/env bash
# An operator evacuates a zone and takes it back. From the acknowledgement on no entry
# sends a request to the zone's servers, also after control's leader is killed, all of
# control is restarted and an entry is restarted; callers are served by the other zones.
# With all zones evacuated calls are refused at once.
#
# Guards against an order to evacuate a zone that is not acknowledged, not followed, or
# lost with the leader.
. "$(dirname "$0")/fleet_test.sh"
bin="$root/build/platform"
tests="$root/build/tests"
load_s=2
per_second=25
apply_s=1 # an entry hears of a change within a heartbeat
control_hosts=(127.0.0.1 127.0.0.2 127.0.0.3)
list_port=$(port 0 60)
control_port=$(port 0 11)
rpc_port=$(port 0 10)

servers=()
seeds=""
for index in "${!zones[@]}"; do
  for number in 0 1; do
    servers+=("s$index$number:engines:${zones[$index]}:$(port "$index" $((40 + number)))")
  done
  seeds+="${seeds:+,}\"${control_hosts[$index]}:$control_port\""
done
"$tests/listed_servers" "$list_port" "${servers[@]}" >"$run/logs/servers.out" 2>&1 &
process_ids[servers]=$!
for index in "${!zones[@]}"; do
  cat >"$run/control-$index.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"${control_hosts[$index]}:$control_port",
 "zone":"${zones[$index]}","host":"${control_hosts[$index]}","rpc_port":$rpc_port,
 "data_folder":"$run/data/control-$index","seeds":[$seeds],"bootstrap":true,
 "replication":{"host_faults":1},"log_file":"$run/logs/control-$index.log"}}
JSON
  cat >"$run/entry-$index.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"entry-$index",
 "zone":"${zones[$index]}","callers":"127.0.0.1:$(port "$index" 0)",
 "ready":"127.0.0.1:$(port "$index" 1)","metrics_port":$(port "$index" 2),
 "control_port":$rpc_port,"seeds":[$seeds],
 "log_file":"$run/logs/entry-$index.log"}}
JSON
  start "control-$index" lovagedale-platform-control
done
cat >"$run/config.json" <<JSON
{"version":1,"routes":[{"name":"read","host":"h.example","path_prefix":"/read/",
 "route_type":"idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":0,
 "backend":"engines","max_attempts":3,"public":true}],
 "backends":[{"name":"engines","health_check_path":"/healthz","max_connections":500}],
 "limits":{"idle_timeout_ms":15000},"tenants":[]}
JSON
# Any replica that runs takes an operator's call.
operator() { # curl arguments, path
  local host path="${*: -1}"
  for host in "${control_hosts[@]}"; do
    curl -sf -m 2 "${@:1:$#-1}" "http://$host:$control_port$path" && return
  done
  return 1
}
wait_for "the configuration" operator -X PUT -d "@$run/config.json" /api/config
ready() { curl -sf -m 1 "http://127.0.0.1:$(port "$1" 1)/api/readyz" >/dev/null; }
for index in "${!zones[@]}"; do
  start "entry-$index" lovagedale-platform-entry
  wait_for "entry-$index" ready "$index"
done
arrivals() { # zone
  local count
  count=$(field "requests in $1" "$(curl -sf -m 2 "http://127.0.0.1:$list_port/record")")
  echo "${count:-0}"
}
callers() { # zone index
  "$tests/route_callers" "$(port "$1" 0)" /read/x "$per_second" "$load_s"
}
# All callers are served; requests reach the zone, or none do.
expect_zone() { # what, zone, some or none
  local index before after report reports=()
  before=$(arrivals "$2")
  for index in "${!zones[@]}"; do
    callers "$index" >"$run/report-$index.json" &
    reports+=("$!")
  done
  wait "${reports[@]}"
  after=$(arrivals "$2")
  echo "$1: $((after - before)) requests reached $2"
  for index in "${!zones[@]}"; do
    report=$(cat "$run/report-$index.json")
    [ "$(field served "$report")" -eq "$(field sent "$report")" ] ||
      fail "$1: entry-$index served $report"
  done
  if [ "$3" = none ]; then
    [ "$after" -eq "$before" ] || fail "$1: requests reached $2"
  else
    [ "$after" -gt "$before" ] || fail "$1: no request reached $2"
  fi
}
evacuations() { operator /api/drain; }

zone=${zones[0]}
expect_zone "before" "$zone" some
status=$(curl -s -m 2 -o "$run/unknown.json" -w '%{http_code}' -X POST \
  "http://${control_hosts[0]}:$control_port/api/drain/nowhere")
[ "$status" = 404 ] || fail "an unknown zone got $status"
wait_for "the evacuation" operator -X POST "/api/drain/$zone"
sleep "$apply_s"
expect_zone "evacuated" "$zone" none
[[ "$(evacuations)" == *"$zone"* ]] || fail "not listed: $(evacuations)"

crash control-0
wait_for "a leader" evacuations
sleep "$apply_s"
expect_zone "a replica was killed" "$zone" none
for index in 1 2; do crash "control-$index"; done
stop entry-0
for index in "${!zones[@]}"; do start "control-$index" lovagedale-platform-control; done
start entry-0 lovagedale-platform-entry
wait_for "a leader" evacuations
wait_for "entry-0" ready 0
expect_zone "all of control and an entry were restarted" "$zone" none

for other in "${zones[@]:1}"; do
  wait_for "the evacuation of $other" operator -X POST "/api/drain/$other"
done
sleep "$apply_s"
report=$(callers 0)
echo "all zones evacuated: $report"
[ "$(field refused "$report")" -eq "$(field sent "$report")" ] || fail "not refused: $report"
[ "$(field slowest_refusal_ms "$report")" -lt 500 ] || fail "refused late: $report"

for other in "${zones[@]}"; do
  wait_for "the withdrawal for $other" operator -X DELETE "/api/drain/$other"
done
sleep "$apply_s"
expect_zone "taken back" "$zone" some
