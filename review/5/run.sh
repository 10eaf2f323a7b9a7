#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
trouble="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
entry_count=1
. "$here/../common/fleet.sh"
run_driver case_5 "$trouble"
