# Starts a small deployment on loopback addresses for a case: three control
# replicas and some entries, with the commands of the deploy file and settings as
# its templates render them. Sourced by run.sh, which sets `here` (the case's
# folder) and `entry_count`, and then calls run_driver.

root="$(cd "$here/../.." && pwd)"
run="$(mktemp -d "${TMPDIR:-/tmp}/lovagedale-review.XXXXXX")"
started=()

end_all() {
  local id
  exec 2>/dev/null # the shell's messages about ended processes
  for id in "${started[@]}"; do kill -KILL "$id"; done
  for id in "$run"/*.pid; do [ ! -e "$id" ] || kill -KILL "$(cat "$id")"; done
  wait
  rm -rf "$run"
}
trap end_all EXIT

# Addresses of this run only: 127.A.B.x.
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
directory="$net.5:18223"

# With supervised=true a program that ends is started again after 0.3 s. Its
# process id is in NAME.pid.
supervised=false
pids=""

supervise() { # program, name
  while :; do
    "$root/target/platform/lovagedale-platform-$1" --config "$run/$2.json" \
      >>"$run/$2.log" 2>&1 &
    echo "$!" >"$run/$2.pid"
    wait "$!"
    sleep 0.3
  done 2>/dev/null
}

start() { # program, name
  if "$supervised"; then
    supervise "$1" "$2" &
    started+=("$!")
    pids+="${pids:+,}$run/$2.pid"
    return
  fi
  "$root/target/platform/lovagedale-platform-$1" --config "$run/$2.json" \
    >"$run/$2.log" 2>&1 &
  started+=("$!")
}

start_control() {
  local index
  seeds="\"$net.11:8229\",\"$net.12:8229\",\"$net.13:8229\""
  for index in 1 2 3; do
    mkdir -p "$run/data-$index"
    cat >"$run/control-$index.json" <<JSON
{"directory":"$directory","product":{"name":"$net.1$index:8229","zone":"akl-a",
 "host":"$net.1$index","rpc_port":17340,"data_folder":"$run/data-$index",
 "seeds":[$seeds],"bootstrap":true,
 "replication":{"heartbeat_ms":60,"election_min_ms":300,"election_max_ms":600,
 "lease_ms":270,"host_faults":1,"kept_entries":50}}}
JSON
    start control "control-$index"
  done
}

start_entries() {
  local index ip
  entries=""
  for index in $(seq 1 "$entry_count"); do
    ip="$net.2$index"
    cat >"$run/entry-$index.json" <<JSON
{"directory":"$directory","product":{"name":"edge-$index","zone":"akl-a",
 "callers":"$ip:18227","ready":"$ip:18220","metrics_port":19464,
 "entry_port":17341,"control_port":17340,"grace_s":8,"seeds":[$seeds]}}
JSON
    start entry "entry-$index"
    entries+="${entries:+,}$ip:18227/$ip:18220/$!"
  done
}

# Runs the case's driver and ends with its exit code.
run_driver() { # name of the driver, 0 to leave the disruption out
  local driver="$root/target/review/$1" code program
  for program in "$driver" "$root"/target/platform/lovagedale-platform-{entry,control}; do
    if [ ! -x "$program" ]; then
      echo "$program is missing: run the deploy file's build, then review/build.sh" >&2
      exit 2
    fi
  done
  start_control
  start_entries
  "$driver" directory="$directory" entries="$entries" replicas="$net.6" \
    control="$net.11:8229,$net.12:8229,$net.13:8229" \
    record="$here/record.txt" pids="$pids" trouble="$2"
  code=$?
  if [ -n "${KEEP_LOGS:-}" ]; then cp "$run"/*.log "$KEEP_LOGS"/; fi
  case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
}
