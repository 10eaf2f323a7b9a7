#!/usr/bin/env bash
# MIXED: faulty replicas send additional bytes after a complete response, and
# consumers get them as successes. See claim.txt.
replicas=6
. "$(dirname "$0")/../stand-ins-3/deployment.sh"

requests=600

start_deployment "$(route read idempotent ""),$(route order non_idempotent "")"
[ "${TROUBLE:-1}" = 0 ] || set_fault spoil
successes=0
wrong=0
for ((i = 1; i <= requests; ++i)); do
  if [ $((i % 2)) = 0 ]; then
    call 1 "q-$i" GET /read/x
  else
    call 1 "q-$i" POST /order/x --data "order $i"
  fi
  [[ $status == 2* ]] || continue
  successes=$((successes + 1))
  if [ "$mac" != "signed-q-$i" ] || [ "$(cat "$run/body")" != "answer to q-$i" ]; then
    wrong=$((wrong + 1))
    note "MIXED: q-$i"
  fi
done
spoiled=$(grep -c ' extra_bytes_before ' "$run/stand_in.txt")
[ "$successes" -ge $((requests / 2)) ] || cannot_run "requests fail"
if [ "$wrong" -gt 0 ]; then
  finish 1 "MIXED: $wrong of $successes successes are not of the replica; replicas sent additional bytes $spoiled times in $requests requests"
fi
finish 0 "held: all $successes successes are whole and bear their replica's MAC; replicas sent additional bytes $spoiled times in $requests requests"
