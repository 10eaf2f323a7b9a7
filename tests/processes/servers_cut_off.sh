#!/usr/bin/env bash
# An entry loses its connections to all servers: they hang, are reset, or live on
# while new ones are refused. From connected_s later its callers are served at the
# first attempt about as well as those of the other entries, each request runs once,
# and streams stay whole. It ends when servers are reached again. Where no entry
# reaches a server, calls are refused at once.
#
# Guards against an entry that refuses all calls because it alone reaches no server.
. "$(dirname "$0")/fleet_test.sh"
bin="$root/build/platform"
tests="$root/build/tests"
connected_s=3
load_s=4
per_second=25

server_port() { port "$1" $((40 + $2)); }         # zone index, number
server_relay_port() { relay_port "$1" $((40 + $2)); }
list_port=$(port 0 60)
control_port=$(port 0 11)
rpc_port=$(port 0 10)

servers=()
relays=()
overrides=""
for index in "${!zones[@]}"; do
  for number in 0 1; do
    servers+=("s$index$number:engines:${zones[$index]}:$(server_port "$index" "$number")")
    relays+=("$(server_relay_port "$index" "$number"):$(server_port "$index" "$number")")
    overrides+="${overrides:+,}{\"listed\":\"127.0.0.1:$(server_port "$index" "$number")\",\"reached_at\":\"127.0.0.1:$(server_relay_port "$index" "$number")\"}"
  done
done
"$tests/listed_servers" "$list_port" "${servers[@]}" >"$run/logs/servers.out" 2>&1 &
process_ids[servers]=$!
mkfifo "$run/cut"
"$tests/cut_relay" "${relays[@]}" <"$run/cut" >"$run/logs/relay.out" 2>&1 &
process_ids[relay]=$!
exec {commands}>"$run/cut"
tell_relay() { echo "$1" >&"$commands"; }

cat >"$run/control.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"127.0.0.1:$control_port",
 "zone":"${zones[0]}","host":"127.0.0.1","rpc_port":$rpc_port,
 "data_folder":"$run/data/control","seeds":["127.0.0.1:$control_port"],
 "bootstrap":true,"log_file":"$run/logs/control.log"}}
JSON
start control lovagedale-platform-control
# The first two entries reach the servers through the relay.
for index in "${!zones[@]}"; do
  own=""
  [ "$index" -eq 2 ] || own="$overrides"
  cat >"$run/entry-$index.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"entry-$index",
 "zone":"${zones[$index]}","callers":"127.0.0.1:$(port "$index" 0)",
 "ready":"127.0.0.1:$(port "$index" 1)","metrics_port":$(port "$index" 2),
 "entry_port":$(port "$index" 3),
 "control_port":$rpc_port,"seeds":["127.0.0.1:$control_port"],
 "server_addresses":[$own],"log_file":"$run/logs/entry-$index.log"}}
JSON
done

route() { # name, kind, more
  echo "{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"/$1/\",\"route_type\":\"$2\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,\"backend\":\"engines\",\"max_attempts\":3,\"public\":true$3}"
}
cat >"$run/config.json" <<JSON
{"version":1,"routes":[$(route read idempotent ""),$(route order non_idempotent ""),
 $(route stream streaming ',"stream_resume":true,"itl_target_ms":800')],
 "backends":[{"name":"engines","health_check_path":"/healthz","max_connections":500}],
 "limits":{"idle_timeout_ms":15000},"tenants":[]}
JSON
put_config() {
  curl -sf -m 2 -X PUT -d "@$run/config.json" "http://127.0.0.1:$control_port/api/config"
}
wait_for "the configuration" put_config >/dev/null
for index in 0 2; do start "entry-$index" lovagedale-platform-entry; done
ready() { curl -sf -m 1 "http://127.0.0.1:$(port "$1" 1)/api/readyz" >/dev/null; }
for index in 0 2; do wait_for "entry-$index" ready "$index"; done

callers() { # zone index, path, seconds
  "$tests/route_callers" "$(port "$1" 0)" "$2" "$per_second" "$3"
}
# Sends to both entries; fails unless the first one's callers are served as often as
# two thirds of the second one's, and at most 10 + 1 in 50 of them all fail.
expect_served() { # what
  local path report other sent=0 failed=0 served other_served name
  for path in /read/x /order/x /stream/x; do
    callers 2 "$path" "$load_s" >"$run/other.json" &
    local other_id=$!
    report=$(callers 0 "$path" "$load_s")
    wait "$other_id"
    other=$(cat "$run/other.json")
    echo "$1 $path: $report; others $other"
    [ "$(field wrong "$report")" -eq 0 ] || fail "$1 $path: wrong answers"
    [ "$(field wrong "$other")" -eq 0 ] || fail "$1 $path: wrong answers of others"
    served=$(field served "$report")
    other_served=$(field served "$other")
    [ $((3 * served)) -ge $((2 * other_served)) ] ||
      fail "$1 $path: served $served, others $other_served"
    sent=$((sent + $(field sent "$report") + $(field sent "$other")))
    failed=$((failed + $(field sent "$report") - served + $(field sent "$other") - other_served))
  done
  [ "$failed" -le $((10 + sent / 50)) ] || fail "$1: $failed of $sent failed"
}
forwarded() {
  curl -sf -m 2 "http://127.0.0.1:$(port "$1" 2)/metrics" |
    sed -n 's/^lovagedale_forwarded_calls_total\({[^}]*}\)\? //p' |
    awk '{ total += $1 } END { print total + 0 }'
}
is_direct() { # zone index
  local before
  before=$(forwarded "$1")
  callers "$1" /read/x 1 >/dev/null
  [ "$(forwarded "$1")" = "$before" ]
}

expect_served "connected"
for cut in hang reset refuse; do
  # Calls are under way and connections are kept when the cut begins.
  callers 0 /order/x 2 >"$run/under_way.json" &
  under_way=$!
  callers 0 /stream/x 2 >"$run/streams.json" &
  streams=$!
  sleep 1
  tell_relay "$cut"
  sleep "$connected_s"
  wait "$under_way" "$streams"
  echo "$cut, under way: $(cat "$run/under_way.json") $(cat "$run/streams.json")"
  [ "$(field wrong "$(cat "$run/streams.json")")" -eq 0 ] || fail "wrong streams"
  expect_served "$cut"
  ready 0 || fail "$cut: the entry says that it is not ready"
  tell_relay heal
  wait_for "direct calls after $cut" is_direct 0
done
record=$(curl -sf -m 2 "http://127.0.0.1:$list_port/record")
echo "orders: $record"
expect_zero repeated "$record"

# Nobody reaches the servers any more.
stop entry-2
start entry-1 lovagedale-platform-entry
wait_for "entry-1" ready 1
for index in 0 1; do callers "$index" /read/x 1 >/dev/null; done
tell_relay refuse
tell_relay reset
sleep "$connected_s"
for index in 0 1; do
  report=$(callers "$index" /read/x 2)
  echo "nobody, entry-$index: $report"
  [ "$(field served "$report")" -eq 0 ] || fail "served without a server"
  [ "$(field refused "$report")" -eq "$(field sent "$report")" ] ||
    fail "not refused: $report"
  [ "$(field slowest_refusal_ms "$report")" -lt 500 ] ||
    fail "refused late: $report"
done
