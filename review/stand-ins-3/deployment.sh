# Functions that start a small deployment on loopback: three core machines, two
# edge machines and the stand-ins of the provider and of the replicas. Sourced by
# review/N/run.sh, which first sets `replicas`, the number of these.
#
# The core machines have the addresses 127.0.0.1 to 127.0.0.3, the edge machines
# 127.0.0.11 and 127.0.0.12, and all the same ports. The settings are those that
# deploy/control.json.tmpl and deploy/entry.json.tmpl make on kokonati-route, and
# the programs those of deploy/system.toml.

set -u
case_folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$case_folder/../.." && pwd)"
record="$case_folder/record.txt"
programs="$root/target/platform"
stand_ins="$root/target/review-3"
run="$(mktemp -d)"
connected_s=3
started_ids=()
started_groups=()
# Of processes, by name.
declare -A ids=()

now_ms() { date +%s%3N; }
note() { echo "$(($(now_ms) - began_ms)) $*" >>"$record"; }
cannot_run() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}

end_all() {
  local id
  for id in "${started_groups[@]}"; do kill -KILL -- "-$id" 2>/dev/null; done
  for id in "${started_ids[@]}"; do kill -KILL "$id" 2>/dev/null; done
  wait 2>/dev/null
  if [ -f "$run/stand_in.txt" ]; then
    sed 's/^/stand-ins, since their start: /' "$run/stand_in.txt" >>"$record"
  fi
  rm -rf "$run"
}
trap end_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >>"$run/$name.log" 2>&1 &
  ids[$name]=$!
  started_ids+=("$!")
}
# Starts a function that runs beside the script, in a process group of its own.
# Sets `loop_id`.
start_loop() { # function, arguments...
  set -m
  "$@" &
  loop_id=$!
  set +m
  started_groups+=("$loop_id")
}
end_loop() { # id
  kill -KILL -- "-$1" 2>/dev/null
  wait "$1" 2>/dev/null
}

control_ip() { echo "127.0.0.$1"; }   # 1 to 3
entry_ip() { echo "127.0.0.$((10 + $1))"; } # 1 or 2

write_settings() {
  local number zone bootstrap=$1
  for number in 1 2 3; do
    zone=$(zone_of "$number")
    cat >"$run/control-$number.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{
 "name":"$(control_ip "$number"):$admin_port","zone":"$zone",
 "host":"$(control_ip "$number")","rpc_port":$rpc_port,
 "data_folder":"$run/data-$number","seeds":$seeds,"bootstrap":$bootstrap,
 "order_resend_ms":4000,"replication":{"heartbeat_ms":60,
 "election_min_ms":300,"election_max_ms":600,"lease_ms":270,"host_faults":1,
 "kept_entries":50}}}
JSON
  done
  for number in 1 2; do
    zone=$(zone_of "$number")
    cat >"$run/entry-$number.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{"name":"edge-$number",
 "zone":"$zone","callers":"$(entry_ip "$number"):$client_port",
 "ready":"$(entry_ip "$number"):$ready_port","metrics_port":$metrics_port,
 "entry_port":$entry_port,"control_port":$rpc_port,"grace_s":8,"seeds":$seeds}}
JSON
  done
}
zone_of() {
  local zones=(akl-a akl-b akl-c)
  echo "${zones[$1 - 1]}"
}

start_machines() {
  local number
  for number in 1 2 3; do
    start "control-$number" "$programs/lovagedale-platform-control" \
      --config "$run/control-$number.json"
  done
  for number in 1 2; do
    start "entry-$number" "$programs/lovagedale-platform-entry" \
      --config "$run/entry-$number.json"
  done
}

# Sends a request; prints the status and the MAC of the answer, 000 without one.
# Arguments: method, host, port, path, file for the body, seconds, NAME:VALUE...,
# =BODY.
send() { "$stand_ins/consumer" "$@"; }

set_fault() { # name
  [[ $(send GET 127.0.0.1 "$list_port" "/fault/$1" "$run/fault" 2) == 200* ]] ||
    cannot_run "the stand-ins do not answer"
  note "stand-ins: fault $1"
}

# Prints a route of the configuration. Arguments: name, route_type, more fields.
route() {
  printf '%s' "{\"name\":\"$1\",\"host\":\"ficu95.example\",\"path_prefix\":\"/$1/\",\"route_type\":\"$2\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,\"backend\":\"engines\",\"max_attempts\":3,\"public\":false$3}"
}
stream_fields=',"itl_target_ms":800,"session_affinity":true'
# Prints a configuration. Arguments: version, text of the list of routes.
config() {
  printf '%s' "{\"version\":$1,\"routes\":[$2],\"backends\":[{\"name\":\"engines\",\"health_check_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"upstream_tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"]},{\"name\":\"rada7437\",\"api_keys\":[\"anfqasnmgkcuyj8pjbvk\"]}]}"
}
# Sends a configuration to a core machine; prints the status, 000 without one.
put_config() { # number, text
  local answer
  answer=$(send PUT "$(control_ip "$1")" "$admin_port" /api/config "$run/answer" 2 \
    "Content-Type:application/json" "=$2")
  echo "${answer%% *}"
}
is_ready() { # number
  [[ $(send GET "$(entry_ip "$1")" "$ready_port" /api/readyz "$run/answer" 1) == 200* ]]
}
wait_for() { # seconds, what, command...
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}
is_acknowledged() { # number, text
  [ "$(put_config "$1" "$2")" = 200 ]
}

# Headers of a consumer's request, into `headers`. Arguments: id, key.
set_headers() {
  headers=("Host:ficu95.example" "X-Lovagedale-Request-Id:$1"
    "X-Lovagedale-Deadline-Ms:3000" "Authorization:Token $2")
}
# Sends one request of a consumer and notes it with its answer. Arguments: edge
# machine, id, method, path, NAME:VALUE..., =BODY. Sets `status`, `mac` and leaves
# the body in $run/body.
call() {
  local number=$1 id=$2 method=$3 path=$4 answer
  shift 4
  set_headers "$id" n2ctnfzs989anu6wsjnb
  answer=$(send "$method" "$(entry_ip "$number")" "$client_port" "$path" \
    "$run/body" 5 "${headers[@]}" "$@")
  status=${answer%% *}
  mac=${answer#* }
  note "sent $id $method $path to edge-$number: status $status, MAC '$mac'," \
    "$(head -c 80 "$run/body" | tr '\n' '|')"
}

# Starts everything and brings the configuration into force. Argument: text of
# the list of routes.
start_deployment() {
  began_ms=$(now_ms)
  : >"$record"
  note "TROUBLE=${TROUBLE:-1}"
  [ -x "$stand_ins/deployment_stand_in" ] && [ -x "$stand_ins/consumer" ] &&
    [ -x "$programs/lovagedale-platform-entry" ] ||
    cannot_run "the programs are not built"
  start stand_ins "$stand_ins/deployment_stand_in" \
    "$run/stand_in.txt" "$replicas" 6
  wait_for 10 "the stand-ins" grep -q '^ready' "$run/stand_ins.log" ||
    cannot_run "the stand-ins do not start"
  mapfile -t ports < <(grep '^[0-9]' "$run/stand_ins.log")
  list_port=${ports[0]}
  admin_port=${ports[replicas + 1]}
  rpc_port=${ports[replicas + 2]}
  client_port=${ports[replicas + 3]}
  ready_port=${ports[replicas + 4]}
  metrics_port=${ports[replicas + 5]}
  entry_port=${ports[replicas + 6]}
  seeds="[\"$(control_ip 1):$admin_port\",\"$(control_ip 2):$admin_port\",\"$(control_ip 3):$admin_port\"]"
  write_settings true
  start_machines
  wait_for 15 "the configuration" is_acknowledged 1 "$(config 1 "$1")" ||
    cannot_run "no configuration is acknowledged"
  local number
  for number in 1 2; do
    wait_for 15 "edge-$number" is_ready "$number" ||
      cannot_run "edge-$number does not get ready"
  done
  # The rules take a machine for in touch connected_ms after its start.
  sleep "$connected_s"
  note "the deployment runs"
}

# Ends the script: 1 if the rule was broken. Arguments: 0 or 1, result.
finish() {
  note "result: $2"
  echo "$2"
  exit "$1"
}
