#!/usr/bin/env bash
# Guards against a refusal that says "not run" after an attempt that may have run:
# an engine crashes by a request, and the customer or the version is removed before
# the next attempt.
only_zone=akl-a
engines_per_zone=1
. "$(dirname "$0")/fleet_test.sh"
apply() { ctl --wait config apply "$1" >/dev/null || fail "$1 was not applied"; }
start_fleet
# Patient requests wait for a server that takes them.
sed 's|"target_quality":0.8|&,"patience":"patient"|' "$run/configuration.json" \
  >"$run/patient.json"
sed 's|"name":"carts","key":"demo-key"|"name":"gloves","key":"other-key"|' \
  "$run/patient.json" >"$run/customer_removed.json"
sed -z 's|,\n *{"name":"2",[^}]*}||; s|,"scholar@2"||g' "$run/patient.json" \
  >"$run/version_removed.json"
engine=$(engine_name 0 0)
failed_attempts() { cat "$run"/logs/entry-*.log | grep -c ' server_failed '; }
has_failed() { [ "$(failed_attempts)" -ge "$1" ]; }

attempts=0
for removed in customer version; do
  apply "$run/patient.json"
  [ -n "${process_ids[$engine]:-}" ] || start "$engine" lovagedale-standin
  curl -s -m 30 -D "$run/headers" -o "$run/answer" -H "Authorization: Bearer demo-key" \
    -d '{"model":"scholar@2","messages":[{"role":"user","content":"[crash] '"$removed"'"}]}' \
    "http://127.0.0.1:$(port 0 0)/v1/chat/completions" &
  caller_id=$!
  attempts=$((attempts + 1))
  wait_for "the first attempt" has_failed "$attempts"
  wait "${process_ids[$engine]}" || true
  unset "process_ids[$engine]"
  apply "$run/${removed}_removed.json"
  wait "$caller_id" || fail "the caller got no answer"
  echo "$removed removed: $(cat "$run/answer")"
  attempts=$(failed_attempts)
  grep -qi '^Lovagedale-Ran: maybe' "$run/headers" ||
    fail "a request that may have run is said not to have run"
done
