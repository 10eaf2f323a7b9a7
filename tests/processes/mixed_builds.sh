#!/usr/bin/env bash
# Every process is replaced by one of the new build, one after the other and under
# load, then by one of the former build again, and at last by the new build. Between
# the steps the configuration changes, a roll-out begins and is withdrawn, a key is
# revoked and the leader is killed. No caller sees a cut, wrong or lost answer. The
# fleet's format is raised only once no process of the former build is left.
#
# Guards against messages and files that one of two builds does not understand.
# former_commit selects another former build.
drain_delay_ms=300
code=0
former=$("$(dirname "$0")/../../scripts/build_former.sh" ${former_commit:+"$former_commit"}) || code=$?
[ "$code" -eq 0 ] || exit "$code"
. "$(dirname "$0")/fleet_test.sh"

# Build folder of each process's program; the current build by default.
declare -A program_folder=()
start() { # name, program
  "${program_folder[$1]:-$bin}/$2" --config="$run/$1.json" >>"$run/logs/$1.out" 2>&1 &
  process_ids[$1]=$!
}
port_of() { # kind, zone index
  case "$1" in
    control) port "$2" 11 ;;
    ledger) port "$2" 21 ;;
    entry) port "$2" 1 ;;
  esac
}
replaced=0
replace() { # kind, zone index, folder
  local name="$1-${zones[$2]}"
  stop "$name"
  program_folder[$name]=$3
  start "$name" "lovagedale-$1"
  wait_for "$name" is_ready "$(port_of "$1" "$2")"
  replaced=$((replaced + 1))
}
leader() { ctl --json status | grep -o '"leader":"[^"]*"' | head -1 | cut -d'"' -f4; }
revision() { ctl --json status | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2; }
fleet_format() { ctl --json status | grep -o '"fleet_format":[0-9]*' | head -1 | cut -d: -f2; }

changes=0
# A change is decided, is in force everywhere, and a resend gets its first answer.
change_configuration() {
  local expected first again
  changes=$((changes + 1))
  expected=$(revision)
  first=$(ctl --wait rollout withdraw draft@1 --successor=scholar@1 \
    --change_id="withdraw-$changes" --expect="$expected" | head -1)
  again=$(ctl rollout withdraw draft@1 --successor=scholar@1 \
    --change_id="withdraw-$changes" --expect="$expected" | head -1)
  [ "$first" = "$again" ] || fail "resend: $again instead of $first"
  wait_for "the restored version" ctl --wait version restore draft@1 \
    --change_id="restore-$changes"
}
answer_status() { # zone index, key
  curl -s -o "$run/answer" -m 10 -w '%{http_code}' -H "Authorization: Bearer $2" \
    -d '{"model":"auto","messages":[{"role":"user","content":"hello"}]}' \
    "http://127.0.0.1:$(port "$1" 0)/v1/chat/completions"
}
expect_status() { # key, status
  local index status
  for index in "${!zones[@]}"; do
    status=$(answer_status "$index" "$1")
    [ "$status" = "$2" ] || fail "key $1 at ${zones[$index]}: $status instead of $2"
  done
}
# Adds a customer with a key, or removes it again.
set_guest_key() { # true or false
  write_configuration
  if [ "$1" = true ]; then
    sed -i 's/"customers":\[/&{"name":"guests","key":"guest-key","versions":["draft@1"]},/' \
      "$run/configuration.json"
  fi
  wait_for "the configuration" ctl --wait config apply "$run/configuration.json"
}

for kind in control ledger entry; do
  for zone in "${zones[@]}"; do program_folder[$kind-$zone]="$former/tools"; done
done
start_fleet
"$bin/lovagedale-load" --targets="$(entry_ports)" --kind=stream --tokens=60 --concurrency=16 \
  --seconds=600 --resends=20 >"$run/streams.json" &
streams=$!
process_ids[streams]=$streams
"$bin/lovagedale-load" --targets="$(entry_ports)" --kind=order --id_prefix=order \
  --concurrency=4 --rate=40 --seconds=600 --resends=20 >"$run/orders.json" &
orders=$!
process_ids[orders]=$orders
sleep 0.5

replace_all() { # folder, order of kinds
  local folder=$1 kind index name
  shift
  for kind in "$@"; do
    for index in "${!zones[@]}"; do
      replace "$kind" "$index" "$folder"
      [ "$index" -ne 0 ] || change_configuration
    done
    set_guest_key true
    expect_status guest-key 200
    wait_for "a roll-out" ctl --wait rollout start scholar@2 --change_id="start-$replaced"
    name=$(leader)
    [ -n "$name" ] || fail "no leader"
    crash "$name"
    wait_for "another leader" ctl --wait rollout withdraw scholar@2 \
      --successor=scholar@1 --change_id="stop-$replaced"
    start "$name" lovagedale-control
    set_guest_key false
    expect_status guest-key 401
    expect_status demo-key 200
    wait_for "the version for the next roll-out" ctl --wait version restore scholar@2 \
      --change_id="again-$replaced"
  done
}
replace_all "$bin" entry ledger control
replace_all "$former/tools" control ledger entry

# Forward again, now with leave to raise the fleet's format.
for zone in "${zones[@]}"; do
  sed -i 's/^{/{"raise_fleet_format_to":2,/' "$run/control-$zone.json"
done
for kind in control ledger; do
  for index in "${!zones[@]}"; do replace "$kind" "$index" "$bin"; done
done
for index in 0 1; do replace entry "$index" "$bin"; done
sleep 1
[ "$(fleet_format)" = 1 ] || fail "the format was raised beside an entry of the former build"
replace entry 2 "$bin"
is_raised() { [ "$(fleet_format)" = 2 ]; }
wait_for "the raised format" is_raised
name=$(leader)
crash "$name"
start "$name" lovagedale-control
wait_for "the raised format after a failover" is_raised
change_configuration

echo "$replaced processes replaced, $changes changes"
kill -0 "$streams" "$orders" || fail "the load ended before the replacements"
kill -TERM "$streams" "$orders"
wait "$streams" "$orders"
for report in "$(cat "$run/streams.json")" "$(cat "$run/orders.json")"; do
  echo "$report"
  expect_all_answered "$report"
  [ "$(field answered "$report")" -gt 100 ] || fail "too little load"
done
! grep -h message_not_handled "$run"/logs/*.log || fail "a message was not understood"
