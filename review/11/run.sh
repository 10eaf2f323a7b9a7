#!/usr/bin/env bash
# LOST: a part of prompts crashes the replicas; sound requests that share the
# other parts are refused from then on. See claim.txt.
replicas=12
. "$(dirname "$0")/../stand-ins-3/deployment.sh"

# In seconds: between two sound requests, and two with the bad part.
sound_pause=2
poison_pause=0.5
# Beside them, requests of another customer come one after the other in so many
# loops, about 40 a second; less than one request in 20 of the route has the bad part.
other_loops=6
needed=20 # sound requests, before and after

# Each request has a part of its own, the last one, and a body of its own. The
# sound ones share the customer, the first and the third part with the others.
# Succeeds if the request has begun to run at a replica, as the rule counts.
sound_number=0
send_sound() {
  sound_number=$((sound_number + 1))
  call $((1 + sound_number % 2)) "sound-$sound_number" POST /stream/chat \
    "X-Lovagedale-Token-Usage:322,20" \
    "X-Lovagedale-Prefix-Hash:a1:172,c3:100,5$(printf '%04x' "$sound_number"):50" \
    "=question $sound_number"
  grep -q " run sound-$sound_number " "$run/stand_in.txt"
}
# Runs beside the sound requests until it is ended.
send_poison() {
  local number=0
  while :; do
    number=$((number + 1))
    set_headers "poison-$number" n2ctnfzs989anu6wsjnb
    echo "poison-$number $(send POST "$(entry_ip $((1 + number % 2)))" "$client_port" \
      /stream/chat "$run/poison_body" 5 "${headers[@]}" \
      "X-Lovagedale-Token-Usage:362,20" \
      "X-Lovagedale-Prefix-Hash:a1:172,dead1:40,c3:100,6$(printf '%04x' "$number"):50" \
      "=other question $number")" >>"$run/poison.txt"
    sleep "$poison_pause"
  done
}
# The same, with a first part and a key of their own.
send_others() { # number of the loop
  local number=0
  while :; do
    number=$((number + 1))
    set_headers "other-$1-$number" anfqasnmgkcuyj8pjbvk
    send POST "$(entry_ip $((1 + $1 % 2)))" "$client_port" /stream/chat \
      "$run/other_body_$1" 5 "${headers[@]}" "X-Lovagedale-Token-Usage:222,20" \
      "X-Lovagedale-Prefix-Hash:b1:172,$(printf '7%x%06x' "$1" "$number"):50" \
      "=text $1 $number" >>"$run/others_$1.txt"
  done
}
crashes() { grep -c ' crash ' "$run/stand_in.txt"; }

start_deployment "$(route stream streaming "$stream_fields")"
for ((loop = 1; loop <= other_loops; ++loop)); do
  start_loop send_others "$loop"
done
before=0
for ((i = 0; i < needed; ++i)); do
  [ "$i" = 0 ] || sleep "$sound_pause"
  send_sound && before=$((before + 1))
done
note "before: $before of $needed sound requests begin"
[ "$before" -ge $((needed * 9 / 10)) ] || cannot_run "sound requests fail before"

[ "${TROUBLE:-1}" = 0 ] || set_fault poison
start_loop send_poison
poison_id=$loop_id
# The next sound request comes after the usual pause.
sleep "$sound_pause"
# The rule counts from twice connected_s after the fifth crash, or the last one
# if there are fewer.
counted_from=$(($(now_ms) + 2000 * connected_s))
seen=0
after=0
sent=0
while [ "$sent" -lt "$needed" ]; do
  if [ "$seen" -lt 5 ] && [ "$(crashes)" -gt "$seen" ]; then
    seen=$(crashes)
    counted_from=$(($(now_ms) + 2000 * connected_s))
    note "crashes so far: $seen"
  fi
  is_counted=$(($(now_ms) >= counted_from))
  if send_sound; then begun=1; else begun=0; fi
  if [ "$is_counted" = 1 ]; then
    sent=$((sent + 1))
    after=$((after + begun))
  fi
  sleep "$sound_pause"
done
end_loop "$poison_id"
note "requests of the other customer by status:" \
  "$(cut -d ' ' -f 1 "$run"/others_*.txt | sort | uniq -c | tr -s ' \n' ' ')"
sed 's/^/requests with the bad part: /' "$run/poison.txt" >>"$record"
grep -h 'quarantine' "$run"/control-*.log | cut -c1-200 >>"$record"
if [ $((after * 2 * needed)) -lt $((before * sent)) ]; then
  finish 1 "LOST: $after of $sent sound requests begin after $(crashes) crashes, $before of $needed before"
fi
finish 0 "held: $after of $sent sound requests begin after $(crashes) crashes, $before of $needed before"
