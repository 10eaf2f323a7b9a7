#!/usr/bin/env bash
# Crowds of callers that keep to no limit meet each HTTP port of an entry and of
# control: too many connections, bodies that stop short of their end, very many
# short fields, requests sent ahead, slow senders and readers. Each process lives
# on, within the memory and the descriptors of its host, and while a crowd is
# there an ordinary request and a readiness check are answered.
#
# Guards against a process that runs out of memory or descriptors, because only
# single requests are bounded, and against crowds that keep others out. The
# entry may open 400 descriptors, so that 400 connections suffice for the fault.
only_zone=akl-a
. "$(dirname "$0")/fleet_test.sh"
bin="${current_programs:-$root/build/platform}"
tests="${current_tests:-$root/build/tests}"
connections=100 # of each crowd at one port of the entry
control_connections=400
descriptors=400
max_memory_kb=$((120 << 10))
crowd_s=60
# More than the time of header and body, so that a crowd has to be met before.
answer_within_s=15
all_shapes="opened half_head slow_head slow_body body_whole body_pieces body_chunks
 over_length over_chunks over_expect expect_stall short_fields query_fields pipelined
 slow_read"
shapes="${shapes:-$all_shapes}"
list_port=$(port 0 60)
control_port=$(port 0 11)
rpc_port=$(port 0 10)

"$tests/listed_servers" "$list_port" "s0:engines:${zones[0]}:$(port 0 40)" \
  >"$run/logs/servers.out" 2>&1 &
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
 "entry_port":$(port 0 3),
 "control_port":$rpc_port,"seeds":["127.0.0.1:$control_port"],
 "log_file":"$run/logs/entry.log"}}
JSON
cat >"$run/config.json" <<JSON
{"version":1,"routes":[{"name":"plain","host":"h.example","path_prefix":"/plain/",
 "route_type":"idempotent","timeout_ms":20000,"target_latency_ms":5000,"priority":0,
 "backend":"engines","max_attempts":3,"public":true}],
 "backends":[{"name":"engines","health_check_path":"/healthz","max_connections":50}],
 "limits":{"max_body_bytes":$((4 << 20)),"header_timeout_ms":30000,
 "idle_timeout_ms":60000},"tenants":[]}
JSON
# The crowd needs descriptors too; only the processes under test have few.
ulimit -Sn "$(ulimit -Hn)"
start_limited() { (ulimit -n "$descriptors"; exec "$bin/$2" --config="$run/$1.json") >>"$run/logs/$1.out" 2>&1 & process_ids[$1]=$!; }
start_limited control lovagedale-platform-control
put_config() {
  curl -sf -m 2 -X PUT -d "@$run/config.json" "http://127.0.0.1:$control_port/api/config"
}
wait_for "the configuration" put_config >/dev/null
start_limited entry lovagedale-platform-entry
is_ready() { curl -sf -m 2 "http://127.0.0.1:$(port 0 1)/api/readyz" >/dev/null; }
wait_for "the entry" is_ready
number=0
is_served() {
  number=$((number + 1))
  [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST -H "Host: h.example" \
    -H "X-Lovagedale-Request-Id: r$number" -H "X-Lovagedale-Deadline-Ms: 20000" \
    -d '{"a":1}' "http://127.0.0.1:$(port 0 0)/plain/x")" = 200 ]
}
has_metrics() { curl -sf -m 2 "http://127.0.0.1:$(port 0 2)/metrics" >/dev/null; }
has_config() { curl -sf -m 2 "http://127.0.0.1:$control_port/api/config" >/dev/null; }
wait_for "an ordinary request" is_served

problems=()
# Repeats a request until it is answered, for at most answer_within_s.
expect_soon() { # what, command
  local end=$((SECONDS + answer_within_s))
  until "$2"; do
    if [ "$SECONDS" -ge "$end" ]; then
      problems+=("$1")
      return
    fi
    sleep 0.1
  done
}
check_process() { # name, shape
  local status="/proc/${process_ids[$1]}/status" peak_kb open
  if ! kill -0 "${process_ids[$1]}" 2>/dev/null; then
    problems+=("$2: $1 has ended")
    printf '%s\n' "${problems[@]}" >&2
    fail "a process ended"
  fi
  peak_kb=$(awk '/^VmHWM:/ { print $2 }' "$status")
  open=$(find "/proc/${process_ids[$1]}/fd" -mindepth 1 | wc -l)
  printf ' %s peak %d KB, %d descriptors;' "$1" "$peak_kb" "$open"
  [ "$peak_kb" -le "$max_memory_kb" ] || problems+=("$2: $1 held $peak_kb KB")
  # Those that are left let it open its files and connections to servers.
  [ "$open" -lt "$((descriptors * 9 / 10))" ] ||
    problems+=("$2: $1 had $open of $descriptors descriptors open")
  # The peak of the next crowd is its own.
  echo 5 >"/proc/${process_ids[$1]}/clear_refs"
}
crowd=()
add_crowd() { # port, path, shape, connections
  "$tests/uncontrolled_callers" "$1" "$2" "$3" "$4" "$crowd_s" >>"$run/logs/crowd-$3.out" 2>&1 &
  crowd+=("$!")
}
end_crowd() {
  kill "${crowd[@]}" 2>/dev/null || true
  wait "${crowd[@]}" 2>/dev/null || true
  crowd=()
}

for shape in $shapes; do
  add_crowd "$(port 0 0)" /plain/x "$shape" "$connections"
  add_crowd "$(port 0 0)" /no/route "$shape" "$connections"
  add_crowd "$(port 0 1)" /api/readyz "$shape" "$connections"
  add_crowd "$(port 0 2)" /metrics "$shape" "$connections"
  add_crowd "$(port 0 3)" /plain/x "$shape" "$connections"
  add_crowd "$control_port" /api/config "$shape" "$control_connections"
  sleep 2
  before=${#problems[@]}
  expect_soon "$shape: no ordinary request was served" is_served
  expect_soon "$shape: no readiness check was answered" is_ready
  expect_soon "$shape: no metrics were answered" has_metrics
  expect_soon "$shape: control did not answer" has_config
  printf '%-13s' "$shape:"
  check_process entry "$shape"
  check_process control "$shape"
  end_crowd
  echo " $(tr '\n' ' ' <"$run/logs/crowd-$shape.out" | head -c 60)"
  [ "${#problems[@]}" -eq "$before" ] || printf '  %s\n' "${problems[@]:before}"
done

# Documents of legal size made of very many short fields: their parsed form is many
# times as large.
{
  printf '{"version":1,"routes":['
  head -c 3800000 /dev/zero | tr '\0' 'x' | sed 's/xxxxxxxx/{"a":0},/g; s/x//g'
  printf '{"a":0}]}'
} >"$run/fields.json"
puts=()
for ((i = 0; i < 20; ++i)); do
  curl -s -m 20 -o /dev/null -X PUT --data-binary "@$run/fields.json" \
    "http://127.0.0.1:$control_port/api/config" &
  puts+=("$!")
  curl -s -m 20 -o /dev/null -X POST --data-binary "@$run/fields.json" \
    "http://127.0.0.1:$control_port/api/rollouts" &
  puts+=("$!")
done
wait "${puts[@]}" || true
before=${#problems[@]}
expect_soon "document: control did not answer" has_config
printf '%-13s' "document:"
check_process control document
echo
[ "${#problems[@]}" -eq "$before" ] || printf '  %s\n' "${problems[@]:before}"

if [ "${#problems[@]}" -gt 0 ]; then
  printf '%s\n' "${problems[@]}" >&2
  fail "${#problems[@]} problems"
fi
