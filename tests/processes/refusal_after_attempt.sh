#!/usr/bin/env bash
# Guards against a refusal that says "not run" after an attempt that may have run:
# an engine breaks off its answer, and the customer or the version is removed
# before the next attempt.
only_zone=akl-a
engines_per_zone=1
. "$(dirname "$0")/fleet_test.sh"
echo reset >"$run/kind"
start_standins() {
  "$root/build/tests/broken_server" "$(port 0 30)" "$run/kind" >"$run/requests" 2>&1 &
  process_ids[engine]=$!
}
apply() { ctl --wait config apply "$1" >/dev/null || fail "$1 was not applied"; }
start_fleet
# Patient requests wait for a server that takes them.
sed 's|"target_quality":0.8|&,"patience":"patient"|' "$run/configuration.json" \
  >"$run/patient.json"
sed 's|"name":"carts","key":"demo-key"|"name":"gloves","key":"other-key"|' \
  "$run/patient.json" >"$run/customer_removed.json"
sed -z 's|,\n *{"name":"2",[^}]*}||; s|,"scholar@2"||g' "$run/patient.json" \
  >"$run/version_removed.json"
has_request() { [ -s "$run/requests" ]; }

for removed in customer version; do
  apply "$run/patient.json"
  [ -n "${process_ids[engine]:-}" ] || start_standins
  curl -s -m 30 -D "$run/headers" -o "$run/answer" -H "Authorization: Bearer demo-key" \
    -d '{"model":"scholar@2","messages":[{"role":"user","content":"x"}]}' \
    "http://127.0.0.1:$(port 0 0)/v1/chat/completions" &
  caller_id=$!
  wait_for "the first attempt" has_request
  crash engine
  apply "$run/${removed}_removed.json"
  wait "$caller_id" || fail "the caller got no answer"
  echo "$removed removed: $(cat "$run/answer")"
  [ "$(wc -l <"$run/requests")" -eq 1 ] || fail "more than one attempt reached the engine"
  grep -qi '^Lovagedale-Ran: maybe' "$run/headers" ||
    fail "a request that may have run is said not to have run"
  : >"$run/requests"
done
