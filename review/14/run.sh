#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# Expects the build of deploy/system.toml and review/build-3.sh. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-3/fractionBound
[ -x "$program" ] && [ -x "$root/target/bin/boragerackd" ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 100 "$program" "$root" "$here" "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
