#!/usr/bin/env bash
# A process whose service has failed ends with its exit code and its log lines.
#
# Guards against a control process that neither works nor ends, and so is not
# started again: destructors of static objects, such as the logging library's,
# may wait for threads without end.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
time_limit_s=10
code=0
output=$(timeout "$time_limit_s" "$root/build/tests/blocked_destructor" \
  --config=/dev/null 2>&1) || code=$?
echo "$output"
[ "$code" -eq 3 ] || {
  echo "FAILED: expected exit code 3, got $code (124: it did not end)" >&2
  exit 1
}
grep -q 'storage_failed reason="the disk is full"' <<<"$output" || {
  echo "FAILED: the reason is not logged" >&2
  exit 1
}
