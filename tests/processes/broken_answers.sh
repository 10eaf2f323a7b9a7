#!/usr/bin/env bash
# Services and engines send broken answers to real entries, before they have read
# a long request and after short ones.
#
# Guards against such an answer, or a part of one, reaching a caller as an answer,
# and against a second run of a call that may run only once.
only_zone=akl-a
engines_per_zone=1
. "$(dirname "$0")/fleet_test.sh"
kind_file="$run/kind"
start_standins() {
  echo early >"$kind_file"
  local name
  for name in engine service; do
    local offset=30
    [ "$name" = engine ] || offset=50
    "$root/build/tests/broken_server" "$(port 0 "$offset")" "$kind_file" \
      >"$run/$name.requests" 2>&1 &
    process_ids[$name]=$!
  done
}
start_fleet
entry="http://127.0.0.1:$(port 0 0)"
head -c 3900000 /dev/zero | tr '\0' x >"$run/long"
echo '{"order":1}' >"$run/short"
for size in long short; do
  printf '{"model":"scholar@1","messages":[{"role":"user","content":"%s"}]}' \
    "$(head -c 3800000 "$run/$size" | tr -d '"{}\n')" >"$run/chat_$size"
done

# Prints the status. Arguments: path, further options of curl.
call() {
  local path=$1
  shift
  curl -s -m 20 -D "$run/headers" -o "$run/answer" -w '%{http_code}' \
    -H "Authorization: Bearer demo-key" -H "Expect:" "$@" "$entry$path" || true
}
count() { wc -l <"$run/$1.requests"; }
expect() { # what, wanted, got
  [ "$2" = "$3" ] || fail "$kind: $1 is $3 instead of $2"
}

for kind in status blank_in_name control_byte_in_name folded_line coding reset close; do
  echo "$kind" >"$kind_file"
  for size in long short; do
    # Without unread bytes, a close ends the answer in order.
    [ "$kind-$size" != close-short ] || continue
    before=$(count service)
    expect "the status of an order ($size)" 502 \
      "$(call /services/cart-ledger/orders --data-binary "@$run/$size")"
    grep -qi '^Lovagedale-Ran: maybe' "$run/headers" ||
      fail "$kind: an order that may have run is not said to"
    expect "the runs of an order" 1 $(($(count service) - before))
    expect "the status of a chat ($size)" 502 \
      "$(call /v1/chat/completions --data-binary "@$run/chat_$size")"
  done
  [ "$kind" = close ] || expect "the status of a read" 502 "$(call /services/cart-ledger/stock)"
done

kind=early
echo "$kind" >"$kind_file"
expect "the status of an early answer" 200 \
  "$(call /services/cart-ledger/orders --data-binary "@$run/long")"
expect "the body of an early answer" "all of it" "$(cat "$run/answer")"
stop entry-akl-a
echo "requests to the service $(count service), to the engine $(count engine)"
