#!/usr/bin/env bash
# The disk of the control leader takes no more bytes for some seconds: another
# replica decides meanwhile, and the one with the full disk catches up once it has
# room. With a further replica killed, the two that are left still decide.
#
# Guards against a control replica that a full disk ends for good, so that the next
# loss of a replica takes the majority.
. "$(dirname "$0")/fleet_test.sh"
# A write beyond the limit of a file's size then fails, as on a full disk.
trap '' XFSZ
start_fleet

leader() { ctl --json status | grep -o '"leader":"[^"]*"' | head -1 | cut -d'"' -f4; }
zone_index() { # control replica
  local index
  for index in "${!zones[@]}"; do
    [ "$1" != "control-${zones[$index]}" ] || echo "$index"
  done
}
own_status() { curl -sf -m 2 "http://127.0.0.1:$(port "$index" 11)/v1/status"; }
change() { ctl --wait --timeout_s=2 version restore draft@1 --change_id="$1"; }
decide() { ctl version restore draft@1 --change_id="$1" >/dev/null; }

full=$(leader)
index=$(zone_index "$full")
id=${process_ids[$full]}
segment=$(find "$run/data/$full" -name 'log-*' -size +0 | sort | tail -1)
# The next batch fits in part only.
prlimit --pid "$id" --fsize=$(($(stat -c %s "$segment") + 10)):
for number in $(seq 5); do
  wait_for "a decision without $full" decide "full-$number"
done
kill -0 "$id" 2>/dev/null || fail "$full has ended"
own_status | grep -q '"storage_failing_ms":[1-9]' ||
  fail "$full does not report its disk: $(own_status)"
own_status | grep -q '"role":"leader"' && fail "$full still leads"

prlimit --pid "$id" --fsize=unlimited:
wait_for "$full's catching up" change room
own_status | grep -q '"storage_failing_ms":0' ||
  fail "$full still reports its disk: $(own_status)"

other=control-${zones[$(((index + 1) % 3))]}
crash "$other"
wait_for "a decision with $full" decide "two-left"
crash "$full"
start "$full" lovagedale-control
wait_for "a decision after a restart" decide "restarted"
start "$other" lovagedale-control
wait_for "all replicas" change "all"
hashes() {
  for index in "${!zones[@]}"; do
    own_status | grep -o '"state_hash":"[^"]*"'
  done | sort -u | wc -l
}
equal_state() { [ "$(hashes)" -eq 1 ]; }
wait_for "equal states" equal_state
