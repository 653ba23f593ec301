#!/usr/bin/env bash
# Builds the cases and their stand-ins into review/build. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Istandins)
for source in standins/*.cc; do
    g++ "${flags[@]}" -c "$source" -o "build/$(basename "$source" .cc).o"
done
for folder in [1-5]; do
    [ -f "$folder/case.cc" ] || continue
    g++ "${flags[@]}" "$folder/case.cc" build/*.o -lboost_json -o "build/case$folder"
done
