#!/usr/bin/env bash
# Runs the case against target/celerygapd, after the build of the deploy file and review/build.sh. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/celerygapd ] || [ ! -x target/review/case5 ]; then
  echo "target/celerygapd or target/review/case5 is not built"
  exit 2
fi
exec target/review/case5 "$folder"
