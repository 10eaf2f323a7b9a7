#!/usr/bin/env bash
# A customer limited to 60 requests a second calls one entry of three: its share
# follows, so that 40 a second are all admitted there; what goes far
# beyond the limit is refused as not run.
. "$(dirname "$0")/fleet_test.sh"
start_fleet
write_configuration ',"rate_per_s":60,"burst":60'
ctl --wait config apply "$run/configuration.json"

send() { # requests a second, requests
  load --targets="$(port 0 0)" --kind=chat --model=draft@1 --tokens=1 \
    --concurrency=32 --rate="$1" --requests="$2"
}
send 40 240 >/dev/null # Shares follow within a few heartbeats.
report=$(send 40 320)
echo "40 a second: $report"
expect_all_answered "$report"
report=$(send 300 1500)
echo "300 a second: $report"
for name in cut wrong failed refused_maybe; do expect_zero "$name" "$report"; done
refused=$(field refused_not_run "$report")
[ "$refused" -gt 0 ] || fail "nothing was refused"
