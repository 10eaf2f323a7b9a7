#!/usr/bin/env bash
# Entries that relay by routes, and control, are of different builds, either way
# round: callers are served, changes of the routes reach the entries, and a key that
# is taken away is refused. Control's folder goes from one build to the other and back.
#
# Guards against entries that refuse every call because they do not understand
# control's messages. former_commit selects another former build.
code=0
former=$("$(dirname "$0")/../../scripts/build_former.sh" ${former_commit:+"$former_commit"}) || code=$?
[ "$code" -eq 0 ] || exit "$code"
. "$(dirname "$0")/fleet_test.sh"
tests="$root/build/tests"
current="${current_programs:-$root/build/platform}"
former="$former/platform"
load_s=2
per_second=25
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
for index in "${!zones[@]}"; do
  cat >"$run/entry-$index.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"entry-$index",
 "zone":"${zones[$index]}","callers":"127.0.0.1:$(port "$index" 0)",
 "ready":"127.0.0.1:$(port "$index" 1)","metrics_port":$(port "$index" 2),
 "control_port":$rpc_port,"seeds":["127.0.0.1:$control_port"],
 "log_file":"$run/logs/entry-$index.log"}}
JSON
done
start_from() { # folder, name, program
  bin=$1
  start "$2" "$3"
}
ready() { curl -sf -m 1 "http://127.0.0.1:$(port "$1" 1)/api/readyz" >/dev/null; }

config_version=0
# Each version has one route more: /read1/, /read2/, ...
put_config() {
  local number routes=""
  config_version=$((config_version + 1))
  for ((number = 1; number <= config_version; ++number)); do
    routes+="${routes:+,}{\"name\":\"read$number\",\"host\":\"h.example\",\"path_prefix\":\"/read$number/\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,\"backend\":\"engines\",\"max_attempts\":3,\"public\":true}"
  done
  cat >"$run/config.json" <<JSON
{"version":$config_version,"routes":[$routes],
 "backends":[{"name":"engines","health_check_path":"/healthz","max_connections":500}],
 "limits":{"idle_timeout_ms":15000},"tenants":[]}
JSON
  wait_for "configuration $config_version" curl -sf -m 2 -X PUT \
    -d "@$run/config.json" "http://127.0.0.1:$control_port/api/config"
}
has_route() { # zone index
  local report
  report=$("$tests/route_callers" "$(port "$1" 0)" "/read$config_version/x" 5 1)
  [ "$(field served "$report")" -eq "$(field sent "$report")" ]
}
expect_served() { # what
  local index report
  put_config
  for index in "${!zones[@]}"; do
    wait_for "$1: the new route at entry-$index" has_route "$index"
    report=$("$tests/route_callers" "$(port "$index" 0)" "/read$config_version/x" \
      "$per_second" "$load_s")
    echo "$1, entry-$index: $report"
    [ "$(field served "$report")" -eq "$(field sent "$report")" ] ||
      fail "$1: entry-$index served $report"
  done
}

start_from "$former" control lovagedale-platform-control
put_config
start_from "$former" entry-0 lovagedale-platform-entry
start_from "$current" entry-1 lovagedale-platform-entry
start_from "$current" entry-2 lovagedale-platform-entry
for index in 0 1 2; do wait_for "entry-$index" ready "$index"; done
expect_served "control of the former build"
stop control
start_from "$current" control lovagedale-platform-control
expect_served "control of the new build"
stop entry-2
start_from "$former" entry-2 lovagedale-platform-entry
wait_for "entry-2" ready 2
expect_served "an entry that went back"
stop control
start_from "$former" control lovagedale-platform-control
expect_served "control that went back"
! grep -h message_not_handled "$run"/logs/*.log || fail "a message was not understood"
