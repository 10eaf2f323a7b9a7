# Sourced by the tests of real processes: a fleet of three zones with two
# engines and one service a zone. Options, set before sourcing:
# engines_per_zone, cut_zone_index, first_byte_ms, between_reads_ms.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
zones=(akl-a akl-b akl-c)
[ -z "${only_zone:-}" ] || zones=("$only_zone")
run="$(mktemp -d "${TMPDIR:-/tmp}/lovagedale-test.XXXXXX")"
mkdir -p "$run/logs" "$run/data"
# shellcheck source=scripts/fleet.sh
. "$root/scripts/fleet.sh"
cut_zone="${cut_zone_index:-}"
engines_per_zone=${engines_per_zone:-2}

finish() {
  local code=$?
  kill_all
  if [ "$code" -eq 0 ]; then rm -rf "$run"; else echo "logs: $run/logs" >&2; fi
}
trap finish EXIT
reserve_ports

load() { "$bin/lovagedale-load" "$@"; }
# A field of a JSON report: name, report.
field() { grep -o "\"$1\":[^,}]*" <<<"$2" | head -1 | cut -d: -f2; }
expect_zero() { # name, report
  local value
  value=$(field "$1" "$2")
  [ "$value" = 0 ] || fail "$1 is $value in $2"
}
# Every request was answered with its own whole answer, none was cut or refused.
expect_all_answered() { # report
  local name
  for name in cut wrong failed refused_maybe refused_not_run; do
    expect_zero "$name" "$1"
  done
}
entry_ports() {
  local list="" index
  for index in "${!zones[@]}"; do list+="${list:+,}$(port "$index" 0)"; done
  echo "$list"
}
# With relayed_engines set, the engines of the zone that can be cut off are
# reached through the relay by everyone.
engine_port() { # zone index, number
  if [ "${relayed_engines:-}" = true ] && [ "$1" = "$cut_zone" ]; then
    relay_port "$1" $((30 + $2))
  else
    port "$1" $((30 + $2))
  fi
}
engine_name() { echo "engine-${zones[$1]}-$2"; }

write_configuration() { # extra JSON of the customer
  local index number separator="" zone_list="" engines="" services=""
  for index in "${!zones[@]}"; do
    zone_list+="$separator{\"name\":\"${zones[$index]}\"}"
    for ((number = 0; number < engines_per_zone; ++number)); do
      engines+="${engines:+,}{\"name\":\"$(engine_name "$index" "$number")\",\"zone\":\"${zones[$index]}\",\"host\":\"127.0.0.1\",\"port\":$(engine_port "$index" "$number"),\"slots\":${engine_slots:-64},\"versions\":[\"draft@1\",\"scholar@1\",\"scholar@2\"]}"
    done
    services+="$separator{\"name\":\"service-${zones[$index]}\",\"zone\":\"${zones[$index]}\",\"host\":\"127.0.0.1\",\"port\":$(port "$index" 50),\"slots\":64}"
    separator=,
  done
  cat >"$run/configuration.json" <<JSON
{"zones":[$zone_list],
 "models":[
  {"name":"draft","versions":[{"name":"1","price_micros_per_1k_tokens":200,"expected_quality":0.6}]},
  {"name":"scholar","versions":[
   {"name":"1","price_micros_per_1k_tokens":2000,"expected_quality":0.9},
   {"name":"2","price_micros_per_1k_tokens":2200,"expected_quality":0.9}]}],
 "pools":[{"name":"lovage-pool","servers":[$engines]},
  {"name":"cart-ledger","kind":"service","servers":[$services]}],
 "customers":[{"name":"carts","key":"demo-key","versions":["draft@1","scholar@1","scholar@2"],
  "services":["cart-ledger"],"target_quality":0.8${1:-}}]}
JSON
}

start_service() { # zone index
  write_standin_settings "service-${zones[$1]}" service \
    "$(port "$1" 50)" ',"slots":64,"first_token_ms":5'
  start "service-${zones[$1]}" lovagedale-standin
}

start_standins() { # extra JSON of the engines
  local index number
  for index in "${!zones[@]}"; do
    for ((number = 0; number < engines_per_zone; ++number)); do
      write_standin_settings "$(engine_name "$index" "$number")" engine \
        "$(port "$index" $((30 + number)))" ",\"slots\":${engine_slots:-64},\"first_token_ms\":${first_token_ms:-5},\"token_ms\":${token_ms:-5}"
      start "$(engine_name "$index" "$number")" lovagedale-standin
    done
    start_service "$index"
  done
}

start_fleet() {
  write_replica_settings control 10 11
  write_replica_settings ledger 20 21
  write_entry_settings
  write_ctl_settings
  write_configuration
  if [ -n "$cut_zone" ]; then
    start_relays 2 10 20 30 31 50
    sleep 0.2
  fi
  start_standins
  start_replicas new
  start_entries
  wait_replicas_ready
  wait_for "the configuration" ctl --wait config apply "$run/configuration.json"
  wait_entries_ready
}

# Times that the services ran an order, by their own record: one line each,
# "order times".
recorded_orders() {
  local index
  for index in "${!zones[@]}"; do
    curl -sf -m 2 "http://127.0.0.1:$(port "$index" 50)/record" |
      tr ',{}' '\n\n\n' | sed -n 's/^"\([^"]*\)":\([0-9]*\)$/\1 \2/p' || true
  done
}
