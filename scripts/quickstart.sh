#!/usr/bin/env bash
# Builds lovagedale, starts a small deployment on loopback, sends real work
# through it and stops it again. Ends 0 only if every step did what it should.
#
#   --labs   the Labs' deployment instead of the Collective's
#   --keep   leave the fleet running and print its addresses
#   --no-build  use the build that is there
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"

keep=false
build=true
zones=(akl-a akl-b akl-c)
region=nz-north
engines_pool=lovage-pool
service_pool=cart-ledger
customer=coconut-carts
patience=a_queue_waits
question="Which of our drinks contain traces of nuts, and may a child with a nut allergy have them?"
note="Supplier note: forty crates of young coconuts arrive on Friday; twelve of them carry the new label; please confirm."
order='{"item":"young coconuts","crates":40}'
for argument in "$@"; do
  case "$argument" in
    --keep) keep=true ;;
    --no-build) build=false ;;
    --labs)
      zones=(jogja-a solo-b semarang-c)
      region=jawa-tengah
      engines_pool=lovage-match
      service_pool=papan-app
      customer=lost-gloves
      patience=can_wait
      question="Which found glove matches a blue left-hand wool glove lost near the library?"
      note="Summarise: seven gloves were found this week; three are leather; one has a name tag; please list the owners."
      order='{"glove":"blue-left-wool","finder":"desk-4"}'
      ;;
    "") ;;
    *)
      echo "unknown option $argument; allowed: --labs --keep --no-build" >&2
      exit 2
      ;;
  esac
done

$build && "$root/scripts/build.sh"

run="$(mktemp -d "${TMPDIR:-/tmp}/lovagedale.XXXXXX")"
mkdir -p "$run/logs" "$run/data"
# shellcheck source=scripts/fleet.sh
. "$root/scripts/fleet.sh"
trap kill_all EXIT
reserve_ports

versions='"draft@1","scholar@1","scholar@2"'
quality=',"quality":[{"version":"draft@1","share":0.55},{"version":"scholar@1","share":0.9},{"version":"scholar@2","share":0.93}]'

write_replica_settings control 10 11
write_replica_settings ledger 20 21
write_entry_settings
write_ctl_settings
for index in "${!zones[@]}"; do
  write_standin_settings "engine-${zones[$index]}" engine "$(port "$index" 30)" \
    ',"first_token_ms":20,"token_ms":5'"$quality"
  write_standin_settings "service-${zones[$index]}" service "$(port "$index" 40)" ""
done
write_standin_settings rating rating "$(port 0 50)" "$quality"

servers() { # kind of stand-in, port offset, extra JSON
  local separator="" index
  printf '['
  for index in "${!zones[@]}"; do
    printf '%s{"name":"%s-%s","zone":"%s","host":"127.0.0.1","port":%d%s}' \
      "$separator" "$1" "${zones[$index]}" "${zones[$index]}" \
      "$(port "$index" "$2")" "$3"
    separator=,
  done
  printf ']'
}

zone_list=""
for zone in "${zones[@]}"; do
  zone_list+="${zone_list:+,}{\"name\":\"$zone\",\"region\":\"$region\"}"
done

cat >"$run/answers.json" <<JSON
{"zones":[$zone_list],
 "models":[
  {"name":"draft","versions":[
   {"name":"1","price_micros_per_1k_tokens":200,"expected_quality":0.55,
    "expected_first_token_ms":20,"expected_token_ms":5}]},
  {"name":"scholar","versions":[
   {"name":"1","price_micros_per_1k_tokens":2000,"expected_quality":0.9,
    "expected_first_token_ms":20,"expected_token_ms":5},
   {"name":"2","price_micros_per_1k_tokens":2200,"expected_quality":0.93,
    "expected_first_token_ms":20,"expected_token_ms":5}]}],
 "pools":[
  {"name":"$engines_pool","kind":"engine",
   "servers":$(servers engine 30 ",\"slots\":8,\"versions\":[$versions]")},
  {"name":"$service_pool","kind":"service",
   "servers":$(servers service 40 ',"slots":8')}],
 "rating":{"host":"127.0.0.1","port":$(port 0 50),"ratings_per_s":20},
 "customers":[
  {"name":"$customer","key":"demo-key","people":40,"requests_per_person_hour":12,
   "patience":"$patience","answers_that_must_satisfy":0.85,
   "budget_micros_per_month":0,"services":["$service_pool"]},
  {"name":"$customer-notes","key":"notes-key","people":4,
   "requests_per_person_hour":6,"patience":"can_wait",
   "answers_that_must_satisfy":0.7,"budget_micros_per_month":0}]}
JSON

say() { printf '\n== %s\n' "$*"; }
entry_url() { echo "http://127.0.0.1:$(port "$1" 0)"; }
log_of() { grep -h "request=$1 " "$run"/logs/entry-*.log || true; }

chat_body() { # model, text, stream
  printf '{"model":"%s","stream":%s,"messages":[{"role":"user","content":"%s"}]}' \
    "$1" "$3" "$2"
}

header_of() { # header name, headers file
  grep -i "^$1:" "$2" | tail -1 | sed 's/^[^:]*: *//' | tr -d '\r'
}

say "starting ${#zones[@]} zones"
for index in "${!zones[@]}"; do
  start "engine-${zones[$index]}" lovagedale-standin
  start "service-${zones[$index]}" lovagedale-standin
done
start rating lovagedale-standin
start_replicas new
start_entries
wait_replicas_ready

say "generating the configuration from the answers"
ctl --answers="$run/answers.json" --out="$run/generated.json" \
  --explain="$run/generated.md" questionnaire
# The notes' customer gets a fixed cascade, so that the demonstration shows one.
sed 's|"name":"'"$customer"'-notes"|&,"cascade":[{"version":"draft@1","accept_signal":0.6},{"version":"scholar@1","accept_signal":0}]|' \
  "$run/generated.json" >"$run/configuration.json"
ctl config check "$run/configuration.json"
ctl --wait config apply "$run/configuration.json"
wait_entries_ready

say "allergen question, streamed through ${zones[0]}"
curl -sfN -m 20 -D "$run/headers1" -H "Authorization: Bearer demo-key" \
  -H "Lovagedale-Task: allergen" \
  -d "$(chat_body auto "$question" true)" \
  "$(entry_url 0)/v1/chat/completions" >"$run/answer1" || fail "question"
grep -q '^data: \[DONE\]' "$run/answer1" || fail "the stream was cut"
grep -o '"content":"[^"]*"' "$run/answer1" | cut -d'"' -f4 | tr -d '\n'
echo
request1=$(header_of Lovagedale-Request-Id "$run/headers1")
log_of "$request1"

say "note to summarise, through a cascade, at ${zones[1]}"
escalated=false
for attempt in 1 2 3 4 5 6 7 8; do
  curl -sf -m 20 -D "$run/headers2" -H "Authorization: Bearer notes-key" \
    -H "Lovagedale-Task: summary" \
    -d "$(chat_body auto "$note ($attempt)" false)" \
    "$(entry_url 1)/v1/chat/completions" >"$run/answer2" || fail "note"
  request2=$(header_of Lovagedale-Request-Id "$run/headers2")
  if grep -q "cascade_escalated request=$request2 " "$run"/logs/entry-*.log; then
    escalated=true
    break
  fi
done
$escalated || fail "no note went up the cascade"
cat "$run/answer2"
echo
log_of "$request2"

say "stock order at ${zones[0]}, resent with the same key through ${zones[2]}"
send_order() { # zone index, headers file
  curl -sf -m 20 -D "$2" -H "Authorization: Bearer demo-key" \
    -H "Idempotency-Key: order-1" -H "Order-Id: order-1" -d "$order" \
    "$(entry_url "$1")/services/$service_pool/orders"
}
first=$(send_order 0 "$run/headers3") || fail "order"
second=$(send_order 2 "$run/headers4") || fail "resent order"
echo "$first"
echo "$second"
[ "$first" = "$second" ] || fail "the resent order got another answer"
times=0
for index in "${!zones[@]}"; do
  count=$(curl -sf "http://127.0.0.1:$(port "$index" 40)/record" |
    grep -o '"order-1":[0-9]*' | cut -d: -f2 || true)
  times=$((times + ${count:-0}))
done
[ "$times" -eq 1 ] || fail "the order ran $times times"
request3=$(header_of Lovagedale-Request-Id "$run/headers3")
log_of "$request3"

say "bills"
sleep 1.2 # The ledgers exchange their records ten times a second.
ctl bills >"$run/bills.json"
cat "$run/bills.json"
for id in "$request1" "$request2" "$request3"; do
  bills=$(grep -o "\"request_id\":\"$id\"" "$run/bills.json" | wc -l)
  [ "$bills" -eq 1 ] || fail "request $id has $bills bills"
done

say "decisions of $request2"
ctl explain "$request2"

if $keep; then
  trap - EXIT
  say "the fleet keeps running"
  for index in "${!zones[@]}"; do
    echo "entry ${zones[$index]}: $(entry_url "$index")"
  done
  echo "key: demo-key; operator client: $bin/lovagedalectl --config=$run/ctl.json"
  echo "process ids: ${process_ids[*]} $port_holder_id"
  exit 0
fi

say "stopping every process in the middle of a long stream"
curl -sfN -m 30 -H "Authorization: Bearer demo-key" \
  -d "$(chat_body auto "A long one [tokens:300]" true)" \
  "$(entry_url 0)/v1/chat/completions" >"$run/answer5" &
stream_id=$!
wait_for "the stream's first words" grep -q content "$run/answer5"
stop_ids=()
for name in "${!process_ids[@]}"; do
  kill -TERM "${process_ids[$name]}"
  stop_ids+=("$name")
done
wait "$stream_id" || fail "the stream's caller failed"
grep -q '^data: \[DONE\]' "$run/answer5" || fail "the stream was cut"
words=$(grep -c '"content":"w' "$run/answer5")
[ "$words" -eq 300 ] || fail "the stream had $words of 300 words"
for name in "${stop_ids[@]}"; do
  code=0
  wait "${process_ids[$name]}" || code=$?
  unset "process_ids[$name]"
  [ "$code" -eq 0 ] || fail "$name ended with exit code $code"
done
echo "the stream arrived whole ($words words); ${#stop_ids[@]} processes ended with 0"
say "done"
rm -rf "$run"
