# Functions that start and stop a small fleet on loopback. Sourced by
# quickstart.sh and by the tests of real processes; needs: root, run (a folder
# of this run), zones (array), region, engines_pool, service_pool.

bin="$root/build/tools"
declare -A process_ids=()

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# Ports that the kernel gave and a process of this run holds: for each zone one
# per offset, then as many again for the relays.
ports_per_zone=64
reserve_ports() {
  local number=$((2 * ${#zones[@]} * ports_per_zone))
  : >"$run/ports"
  "$root/build/tests/reserve_ports" "$number" >>"$run/ports" &
  port_holder_id=$!
  until [ "$(wc -l <"$run/ports")" -eq "$number" ]; do
    kill -0 "$port_holder_id" 2>/dev/null || fail "no ports could be reserved"
    sleep 0.02
  done
  mapfile -t reserved_ports <"$run/ports"
}
port() { echo "${reserved_ports[ports_per_zone * $1 + $2]}"; } # zone, offset
relay_port() { port $((${#zones[@]} + $1)) "$2"; }

# Set to a zone's index to lead all traffic between that zone and the others
# through relays (see start_relays), so that it can be cut off.
cut_zone=""

# Port under which a zone's processes reach another: viewer, zone, offset. The
# operator's client (viewer none) reaches every zone.
seen_port() {
  if [ -n "$cut_zone" ] && [ "$1" != none ] && [ "$1" != "$2" ] &&
    { [ "$1" = "$cut_zone" ] || [ "$2" = "$cut_zone" ]; }; then
    relay_port "$2" "$3"
  else
    port "$2" "$3"
  fi
}

# Relays for every port that is reached across the cut: offsets...
start_relays() {
  local index offset pairs=()
  for index in "${!zones[@]}"; do
    for offset in "$@"; do
      pairs+=("$(relay_port "$index" "$offset"):$(port "$index" "$offset")")
    done
  done
  "$root/build/tests/tcp_relay" "${pairs[@]}" >>"$run/logs/relay.out" 2>&1 &
  process_ids[relay]=$!
}

cut_network() { kill -USR1 "${process_ids[relay]}"; }
heal_network() { kill -USR2 "${process_ids[relay]}"; }

# One JSON list of processes: kind, port offset, viewer's zone index.
process_list() {
  local kind=$1 offset=$2 viewer=$3 separator="" index
  printf '['
  for index in "${!zones[@]}"; do
    printf '%s{"name":"%s-%s","zone":"%s","host":"127.0.0.1","port":%d}' \
      "$separator" "$kind" "${zones[$index]}" "${zones[$index]}" \
      "$(seen_port "$viewer" "$index" "$offset")"
    separator=,
  done
  printf ']'
}

write_replica_settings() { # kind, rpc offset, http offset
  local kind=$1 index
  for index in "${!zones[@]}"; do
    cat >"$run/$kind-${zones[$index]}.json" <<JSON
{"name":"$kind-${zones[$index]}","zone":"${zones[$index]}","host":"127.0.0.1",
 "rpc_port":$(port "$index" "$2"),"http_port":$(port "$index" "$3"),
 "data_folder":"$run/data/$kind-${zones[$index]}",
 "replicas":$(process_list "$kind" "$2" "$index"),
 "log_file":"$run/logs/$kind-${zones[$index]}.log"}
JSON
  done
}

write_entry_settings() {
  local index
  for index in "${!zones[@]}"; do
    cat >"$run/entry-${zones[$index]}.json" <<JSON
{"name":"entry-${zones[$index]}","zone":"${zones[$index]}","host":"127.0.0.1",
 "http_port":$(port "$index" 0),"admin_port":$(port "$index" 1),
 "rpc_port":$(port "$index" 2),"traffic_threads":${traffic_threads:-2},
 "control":$(process_list control 10 "$index"),"ledgers":$(process_list ledger 20 "$index"),
 "entries":$(process_list entry 2 "$index"),
 "deadlines":{"connect_ms":300,"first_byte_ms":${first_byte_ms:-5000},"between_reads_ms":${between_reads_ms:-2000}},
 "drain_delay_ms":${drain_delay_ms:-300},
 "log_file":"$run/logs/entry-${zones[$index]}.log"}
JSON
  done
}

write_ctl_settings() {
  cat >"$run/ctl.json" <<JSON
{"control":$(process_list control 11 none),"ledgers":$(process_list ledger 21 none),
 "entries":$(process_list entry 1 none)}
JSON
}

write_standin_settings() { # name, role, port, extra JSON
  cat >"$run/$1.json" <<JSON
{"name":"$1","role":"$2","host":"127.0.0.1","port":$3,
 "log_file":"$run/logs/$1.log"$4}
JSON
}

start() { # name, program
  "$bin/$2" --config="$run/$1.json" >>"$run/logs/$1.out" 2>&1 &
  process_ids[$1]=$!
}

# Sends SIGTERM and requires exit code 0.
stop() {
  local id=${process_ids[$1]} code=0
  kill -TERM "$id" 2>/dev/null || true
  wait "$id" || code=$?
  unset "process_ids[$1]"
  [ "$code" -eq 0 ] || fail "$1 ended with exit code $code"
}

# Kills without notice.
crash() {
  kill -KILL "${process_ids[$1]}"
  wait "${process_ids[$1]}" 2>/dev/null || true
  unset "process_ids[$1]"
}

kill_all() {
  local name
  [ -z "${port_holder_id:-}" ] || kill -TERM "$port_holder_id" 2>/dev/null || true
  for name in "${!process_ids[@]}"; do
    kill -CONT "${process_ids[$name]}" 2>/dev/null || true
    kill -KILL "${process_ids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

wait_for() { # description, command...
  local what=$1 tries
  shift
  for ((tries = 0; tries < 300; ++tries)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  fail "timed out waiting for $what"
}

is_ready() { curl -sf -m 1 "http://127.0.0.1:$1/ready"; }

ctl() { "$bin/lovagedalectl" --config="$run/ctl.json" "$@"; }

# Starts control and ledgers of all zones; with "new", creates their folders.
start_replicas() {
  local kind index
  for kind in control ledger; do
    for index in "${!zones[@]}"; do
      if [ "${1:-}" = new ]; then
        "$bin/lovagedale-$kind" --initialize \
          --config="$run/$kind-${zones[$index]}.json"
      fi
      start "$kind-${zones[$index]}" "lovagedale-$kind"
    done
  done
}

start_entries() {
  local index
  for index in "${!zones[@]}"; do
    start "entry-${zones[$index]}" lovagedale-entry
  done
}

wait_replicas_ready() {
  local index
  for index in "${!zones[@]}"; do
    wait_for "control-${zones[$index]}" is_ready "$(port "$index" 11)"
    wait_for "ledger-${zones[$index]}" is_ready "$(port "$index" 21)"
  done
}

wait_entries_ready() {
  local index
  for index in "${!zones[@]}"; do
    wait_for "entry-${zones[$index]}" is_ready "$(port "$index" 1)"
  done
}
