#!/usr/bin/env bash
# Guards against requests that end their entry, as a configuration removes the
# version that they wait for. They run on another version of the model.
only_zone=akl-a
engines_per_zone=1
engine_slots=1
token_ms=20
. "$(dirname "$0")/fleet_test.sh"
start_fleet

chat() { # model, text, stream
  curl -s -m 30 -w '\n%{http_code}\n' -H "Authorization: Bearer demo-key" \
    -d "{\"model\":\"$1\",\"stream\":$3,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]}" \
    "http://127.0.0.1:$(port 0 0)/v1/chat/completions"
}
apply() { ctl --wait config apply "$1" >/dev/null || fail "$1 was not applied"; }

# Patient requests wait until the only slot is free.
sed 's|"target_quality":0.8|&,"patience":"patient"|' "$run/configuration.json" \
  >"$run/patient.json"
sed -z 's|,\n *{"name":"2",[^}]*}||; s|,"scholar@2"||g' "$run/patient.json" \
  >"$run/removed.json"
apply "$run/patient.json"

chat scholar@1 "[tokens:250]" true >"$run/first" &
first_id=$!
wait_for "the first words" grep -q content "$run/first"
waiting_ids=()
for number in 1 2 3 4; do
  chat scholar "[tokens:5] $number" false >"$run/waiting-$number" &
  waiting_ids+=($!)
done
# The entry has counted all of them, and no slot becomes free for seconds.
have_arrived() {
  curl -sf -m 1 "http://127.0.0.1:$(port 0 1)/metrics" |
    grep -q '^lovagedale_requests_total.* 5$'
}
wait_for "the waiting requests" have_arrived
apply "$run/removed.json"

wait "$first_id" || fail "the stream was cut"
grep -q '^data: \[DONE\]' "$run/first" || fail "the stream was cut"
for number in 1 2 3 4; do
  wait "${waiting_ids[$((number - 1))]}" || fail "request $number was cut"
  [ "$(tail -1 "$run/waiting-$number")" = 200 ] ||
    fail "request $number: $(cat "$run/waiting-$number")"
done
changed=$(grep -hc 'version_changed_before_dispatch' "$run"/logs/entry-*.log || true)
echo "requests that waited for the removed version: $changed"
[ "$changed" -eq 4 ] || fail "$changed of 4 requests waited for it"
kill -0 "${process_ids[entry-akl-a]}" || fail "the entry ended"
