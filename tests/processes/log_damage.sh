#!/usr/bin/env bash
# A control replica's folder is truncated, damaged in the middle, and deleted:
# the first is repaired by itself, the second refused with a clear error, the
# third comes back as a learner and gets its vote again; then a second one
# loses its folder and nothing is lost.
. "$(dirname "$0")/fleet_test.sh"
start_fleet
for number in $(seq 20); do
  ctl version restore draft@1 --change_id="change-$number" >/dev/null
done
folder="$run/data/control-akl-b"
last_segment() { find "$folder" -name 'log-*' -size +0 | sort | tail -1; }
voters() { ctl --json status | grep -o '"voter":true' | wc -l; }
three_voters() { [ "$(voters)" -eq 3 ]; }
caught_up() { # name, zone index
  ctl --wait --timeout_s=1 version restore draft@1 --change_id="$1"
}

crash control-akl-b
segment=$(last_segment)
truncate -s -5 "$segment"
start control-akl-b lovagedale-control
wait_for "the truncated replica" is_ready "$(port 1 11)"
wait_for "its catching up" caught_up truncated

crash control-akl-b
segment=$(find "$folder" -name 'log-*' -size +0 | sort | head -1)
printf 'X' | dd of="$segment" bs=1 seek=40 conv=notrunc 2>/dev/null
code=0
"$bin/lovagedale-control" --config="$run/control-akl-b.json" \
  2>"$run/damage" || code=$?
cat "$run/damage"
[ "$code" -eq 3 ] || fail "expected exit code 3 for a damaged log, got $code"
grep -q "checksum mismatch at byte" "$run/damage" || fail "unclear error"

incarnations() { ctl --json status | grep -o '"incarnation":[0-9]*' | sort -u; }
for zone in b c; do
  name=control-akl-$zone
  [ $zone = b ] || crash $name
  rm -rf "$run/data/$name"
  start $name lovagedale-control
  index=$([ $zone = b ] && echo 1 || echo 2)
  own() { curl -sf "http://127.0.0.1:$(port "$index" 11)/v1/status" |
    grep -o '"incarnation":[0-9]*' | head -1; }
  wait_for "$name's start" own
  is_voter() { ctl --json status | grep -q "\"name\":\"$name\",\"voter\":true,$(own)"; }
  wait_for "$name's vote" is_voter
  wait_for "its catching up" caught_up "repaired-$zone"
done
answer=$(ctl version restore draft@1 --change_id=change-7)
[ "$answer" = "decided: revision 8" ] || fail "a committed change was lost: $answer"
hashes() {
  for index in "${!zones[@]}"; do
    curl -sf "http://127.0.0.1:$(port "$index" 11)/v1/status" |
      grep -o '"state_hash":"[^"]*"'
  done | sort -u | wc -l
}
equal_state() { [ "$(hashes)" -eq 1 ]; }
wait_for "equal states" equal_state
