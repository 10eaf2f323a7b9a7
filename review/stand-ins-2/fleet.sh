# Starts a small deployment on loopback with the programs of the deploy file and
# plays a scenario against it. Sourced by the run.sh of a case, which sets `case`
# (its folder) and `trouble` (0: without the disruption), and calls play_scenario. Settings are those of deploy/*.tmpl.

root="$(cd "$case/../.." && pwd)"
tools="$root/target/review-2"
: >"$case/record.txt"
programs="$root/target/platform"
not_run=2
entries="${entries:-2}"
replicas="${replicas:-4}"

cd "$root" || exit "$not_run"
for program in "$tools/free_ports" "$programs/lovagedale-platform-entry" \
  "$programs/lovagedale-platform-control"; do
  [ -x "$program" ] || { echo "missing: $program"; exit "$not_run"; }
done
run="$(mktemp -d)" || exit "$not_run"
declare -A process_ids=()

end_processes() {
  local name
  for name in "${!process_ids[@]}"; do
    kill -KILL "${process_ids[$name]}" 2>/dev/null
    wait "${process_ids[$name]}" 2>/dev/null
  done
  rm -rf "$run"
}
trap end_processes EXIT

mapfile -t ports < <("$tools/free_ports" $((8 + replicas)))
[ "${#ports[@]}" -eq $((8 + replicas)) ] || exit "$not_run"
admin_port=${ports[0]} rpc_port=${ports[1]} entry_port=${ports[2]}
client_port=${ports[3]} ready_port=${ports[4]} metrics_port=${ports[5]}
list_port=${ports[6]}

control_host() { echo "127.0.0.$((2 + $1))"; }  # number
entry_host() { echo "127.0.0.$((20 + $1))"; }   # number
zones=(akl-a akl-b akl-c)
seeds="" controls="" consumers="" ready="" replica_list=""
for number in 0 1 2; do
  seeds+="${seeds:+,}\"$(control_host "$number"):$admin_port\""
  controls+="${controls:+,}$(control_host "$number"):$admin_port"
done
for ((number = 0; number < entries; ++number)); do
  consumers+="${consumers:+,}$(entry_host "$number"):$client_port"
  ready+="${ready:+,}$(entry_host "$number"):$ready_port"
done
for ((number = 0; number < replicas; ++number)); do
  replica_list+="${replica_list:+,}127.0.0.1:${ports[8 + number]}"
done

start_control() { # number
  cat >"$run/control-$1.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{
 "name":"$(control_host "$1"):$admin_port","zone":"${zones[$1]}",
 "host":"$(control_host "$1")","rpc_port":$rpc_port,
 "data_folder":"$run/data-$1","seeds":[$seeds],"bootstrap":true,
 "order_resend_ms":4000,
 "replication":{"heartbeat_ms":60,"election_min_ms":300,"election_max_ms":600,
  "lease_ms":270,"host_faults":1,"kept_entries":50}}}
JSON
  "$programs/lovagedale-platform-control" --config "$run/control-$1.json" \
    >"$run/control-$1.out" 2>&1 &
  process_ids[control-$1]=$!
}
start_entry() { # number
  cat >"$run/entry-$1.json" <<JSON
{"directory":"127.0.0.1:$list_port","product":{
 "name":"edge-$1","zone":"${zones[$1]}",
 "callers":"$(entry_host "$1"):$client_port",
 "ready":"$(entry_host "$1"):$ready_port","metrics_port":$metrics_port,
 "entry_port":$entry_port,"control_port":$rpc_port,"grace_s":8,
 "seeds":[$seeds]}}
JSON
  "$programs/lovagedale-platform-entry" --config "$run/entry-$1.json" \
    >"$run/entry-$1.out" 2>&1 &
  process_ids[entry-$1]=$!
}

start_fleet() {
  local number
  for number in 0 1 2; do start_control "$number"; done
  for ((number = 0; number < entries; ++number)); do start_entry "$number"; done
}

# Plays a scenario against the fleet; its name. Adds to record.txt and sets
# `verdict`.
run_scenario() {
  local process code
  timeout 60 "$tools/$1" --control="$controls" --consumer="$consumers" \
    --ready="$ready" --list="127.0.0.1:$list_port" --replica="$replica_list" \
    --record="$run/record.txt" --trouble="$trouble"
  verdict=$?
  cat "$run/record.txt" >>"$case/record.txt"
  # Nothing has been told to stop yet: a process that is gone ended by itself.
  for process in "${!process_ids[@]}"; do
    kill -0 "${process_ids[$process]}" 2>/dev/null && continue
    wait "${process_ids[$process]}"
    code=$?
    unset "process_ids[$process]"
    echo "$process ended by itself with exit code $code" |
      tee -a "$case/record.txt"
  done
  case $verdict in 0 | 1) ;; *) verdict=$not_run ;; esac
}

play_scenario() { # name
  start_fleet
  run_scenario "$1"
}
