#!/usr/bin/env bash
# A bad version is rolled out under load, and the control leader is killed in
# the middle: the version is withdrawn all the same, soon after it is shown to
# be bad, its sessions move to one successor, and a good version goes through
# its stages by itself.
. "$(dirname "$0")/fleet_test.sh"
rating_settings=',"quality":[{"version":"scholar@1","share":0.9},{"version":"scholar@2","share":0.4},{"version":"scholar@3","share":0.97}]'
write_configuration_with_rating() {
  sed -i 's|"customers"|"rating":{"host":"127.0.0.1","port":'"$(port 0 60)"',"ratings_per_s":2000},&|' \
    "$run/configuration.json"
}
start_fleet
write_standin_settings rating rating "$(port 0 60)" "$rating_settings"
start rating lovagedale-standin
write_configuration_with_rating
ctl --wait config apply "$run/configuration.json"

leader() { ctl --json status | grep -o '"leader":"[^"]*"' | head -1 | cut -d'"' -f4; }
phase() { ctl --json status | grep -o "\"version\":\"$1\",\"phase\":\"[a-z]*\"" | cut -d'"' -f8; }
is_phase() { [ "$(phase "$1")" = "$2" ]; }
send() { # seconds
  load --targets="$(entry_ports)" --model=scholar --tokens=2 --concurrency=6 \
    --seconds="$1" --resends=3
}

ctl --wait rollout withdraw scholar@2 --successor=scholar@1
send 2 >/dev/null # The baseline's ratings.
ctl --stages=0.1,0.5,1 --wait rollout start scholar@2
session=$(curl -sf -o /dev/null -D - -H "Authorization: Bearer demo-key" \
  -H "Lovagedale-Session: new" \
  -d '{"model":"scholar@2","messages":[{"role":"user","content":"hello"}]}' \
  "http://127.0.0.1:$(port 1 0)/v1/chat/completions" |
  grep -i '^Lovagedale-Session:' | sed 's/^[^:]*: *//' | tr -d '\r')
[ -n "$session" ] || fail "no session"
send 12 >"$run/load.json" &
load_id=$!
sleep 0.4
name=$(leader)
crash "$name"
wait_for "the withdrawal" is_phase scholar@2 withdrawn
start "$name" lovagedale-control
wait "$load_id"
report=$(cat "$run/load.json")
echo "$report"
for field_name in cut wrong failed refused_maybe; do
  expect_zero "$field_name" "$report"
done
exposed=$(cat "$run"/logs/entry-*.log | grep -c 'target=scholar@2' || true)
echo "requests on the bad version: $exposed"
ctl --json status | grep -o '"reason":"[^"]*"' | head -3

# The session goes on, on the one recorded successor, through any entry.
for index in "${!zones[@]}"; do
  version=$(curl -sf -o /dev/null -D - -H "Authorization: Bearer demo-key" \
    -H "Lovagedale-Session: $session" \
    -d '{"model":"auto","messages":[{"role":"user","content":"again"}]}' \
    "http://127.0.0.1:$(port "$index" 0)/v1/chat/completions" |
    grep -i '^Lovagedale-Version:' | sed 's/^[^:]*: *//' | tr -d '\r')
  [ "$version" = scholar@1 ] || fail "the session moved to $version"
done

# A better version that is added waits for its roll-out and then goes through
# its stages by itself.
sed -i 's|{"name":"2","price|{"name":"3","price_micros_per_1k_tokens":2200,"expected_quality":0.9},&|; s|"scholar@2"\]|"scholar@2","scholar@3"]|g' \
  "$run/configuration.json"
ctl --wait config apply "$run/configuration.json"
is_phase scholar@3 staged || fail "scholar@3 is $(phase scholar@3)"
ctl --stages=0.2,1 --wait rollout start scholar@3
send 8 >"$run/good.json" &
load_id=$!
wait_for "the end of the roll-out" is_phase scholar@3 steady
wait "$load_id"
cat "$run/good.json"
