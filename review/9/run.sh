#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case_9
[ -x "$case" ] || exit 2
timeout -s KILL 110 "$case" review/9/record.txt target/poplardock
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
