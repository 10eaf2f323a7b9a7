#!/usr/bin/env bash
# A request that crashes its server is sent through every entry in turn among
# innocent ones: it crashes at most two servers, and every innocent request is
# answered.
engines_per_zone=4
. "$(dirname "$0")/fleet_test.sh"
start_fleet

load --targets="$(entry_ports)" --kind=stream --tokens=40 --concurrency=30 \
  --requests=400 --resends=3 >"$run/innocent.json" &
load_id=$!
sleep 0.5
for index in "${!zones[@]}" "${!zones[@]}"; do
  code=$(curl -s -o "$run/answer" -w '%{http_code}' -m 30 \
    -H "Authorization: Bearer demo-key" \
    -d '{"model":"scholar","messages":[{"role":"user","content":"[crash] now"}]}' \
    "http://127.0.0.1:$(port "$index" 0)/v1/chat/completions")
  echo "through ${zones[$index]}: $code $(cat "$run/answer")"
  [ "$code" = 422 ] || fail "expected 422"
done
wait "$load_id"
report=$(cat "$run/innocent.json")
echo "$report"
expect_all_answered "$report"
crashed=0
for index in "${!zones[@]}"; do
  for ((number = 0; number < engines_per_zone; ++number)); do
    kill -0 "${process_ids[$(engine_name "$index" "$number")]}" 2>/dev/null ||
      crashed=$((crashed + 1))
  done
done
echo "servers crashed: $crashed"
[ "$crashed" -le 2 ] || fail "$crashed servers were crashed"
