#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra)
objects=()
jobs=()
for source in review/standins-2/*.cc; do
    object=target/review-2/$(basename "$source" .cc).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    jobs+=($!)
    objects+=("$object")
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in review/[6-9]/case.cc review/10/case.cc; do
    [ -f "$source" ] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -lpthread \
        -o "target/review-2/case-$(basename "$(dirname "$source")")"
done
