#!/usr/bin/env bash
# Usage: [TROUBLE=0] review/5/run.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case5 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/build/case5 review/5/record.txt
