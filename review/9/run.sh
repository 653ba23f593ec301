#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
case=target/review-2/case-$(basename "$here")
[ -x "$case" ] && [ -x target/bin/boragerackd ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 115 "$case" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
