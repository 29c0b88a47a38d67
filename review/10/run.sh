#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# The deploy file's build and review/build-2.sh have to have run.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$CASE/../.." && pwd) || exit 2
SCRATCH=$(mktemp -d) || exit 2
RECORD=$CASE/record.txt
export ROOT SCRATCH RECORD
trap 'rm -rf "$SCRATCH"' EXIT
PROGRAM=$ROOT/target/review-2/case-$(basename "$CASE")
test -x "$PROGRAM" || { echo "$PROGRAM is missing: run review/build-2.sh"; exit 2; }
"$PROGRAM" &
PID=$!
# Ends what was started, if this script is told to end before its time.
trap 'kill -KILL $PID $(cat "$SCRATCH/pids") 2>/dev/null; exit 2' INT TERM
wait $PID
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
