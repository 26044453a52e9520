#!/bin/sh
# Plays the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review3 ] && [ -x ../../target/celerygapd ] || { echo "build first: see claim.txt"; exit 2; }
exec ../../target/review3 -root ../.. -record record.txt memory
