#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
common=(Http Store Replica Node)
programs=(review/standins-3/[a-z]*.cc)
jobs=()
for source in "${common[@]/#/review/standins-3/}"; do
    g++ "${flags[@]}" -c "$source.cc" -o "$out/$(basename "$source").o" &
    jobs+=($!)
done
for program in "${programs[@]}"; do
    g++ "${flags[@]}" -c "$program" -o "$out/$(basename "$program" .cc).o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for program in "${programs[@]}"; do
    name=$(basename "$program" .cc)
    objects=("${common[@]/#/$out/}")
    g++ "${flags[@]}" "$out/$name.o" "${objects[@]/%/.o}" -lboost_json -o "$out/$name"
done
