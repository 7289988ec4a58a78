#!/bin/sh
# Plays the case and writes record.txt beside this script. The exit code is the
# result: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves the disruption out.
# It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
ROOT="$(cd ../.. && pwd)" || exit 2
TROUBLE="${TROUBLE:-1}"
export ROOT TROUBLE
[ -x ../bin/standin ] || { echo "review/build.sh was not run"; exit 2; }
exec ../bin/standin fleet-restart record.txt
