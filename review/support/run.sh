#!/usr/bin/env bash
# Runs the case with the number that is the argument. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
program=$root/build/review/case-$1
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/rosemaryshift-gateway" ]; then
    echo "build first: the build of the deploy file, then review/build.sh"
    exit 2
fi
# All processes of the case are in the process group of timeout.
timeout -k 3 112 "$program" "$root" "$root/review/$1" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
