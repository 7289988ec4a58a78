#!/bin/sh
# Plays the case; the result is the exit code: 1 broken, 0 held, 2 could not run.
# It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
ROOT="$(cd ../.. && pwd)" || exit 2
export ROOT
[ -x ../bin/standin ] || { echo "review/build.sh was not run"; exit 2; }
exec ../bin/standin last-key .
