#!/usr/bin/env bash
# TWICE: a request that may run once at most runs again on a larger model. See
# claim.txt.
replicas=4
. "$(dirname "$0")/../stand-ins-3/deployment.sh"

requests=20

models=',"model_tiers":["small-1","large-1"]'
start_deployment "$(route order non_idempotent "$models"),$(route stream streaming "$stream_fields$models")"
[ "${TROUBLE:-1}" = 0 ] || set_fault unsure
for ((i = 1; i <= requests; ++i)); do
  path=/order/x
  [ $((i % 2)) = 0 ] || path=/stream/x
  call 1 "q-$i" POST "$path" "X-Lovagedale-Model:*" \
    "X-Lovagedale-Token-Usage:322,20" \
    "X-Lovagedale-Prefix-Hash:a1:172,5$(printf '%04x' "$i"):150" "=text $i"
  sleep 0.05
done
ran=$(grep -c ' run q-' "$run/stand_in.txt")
twice=$(sed -n 's/.* run \(q-[0-9]*\) .*/\1/p' "$run/stand_in.txt" | sort | uniq -d | wc -l)
[ "$ran" -ge "$requests" ] || cannot_run "requests do not run"
if [ "$twice" -gt 0 ]; then
  finish 1 "TWICE: $twice of $requests requests that are not idempotent ran more than once"
fi
finish 0 "held: each of $requests requests ran once"
