#!/usr/bin/env bash
# Runs the case against target/poplardock; review/build-3.sh builds what it needs. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
trial=$top/build-review-3/case_$(basename "$here")
if [ ! -x "$trial" ] || [ ! -x "$top/target/poplardock" ]; then
    echo "$trial or target/poplardock is missing: build them first" >&2
    exit 2
fi
folder=$(mktemp -d)
# The trial and the daemons that it starts are one process group, which ends with this script.
set -m
TROUBLE=${TROUBLE:-1} "$trial" "$top/target/poplardock" "$folder" "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
