#!/usr/bin/env bash
# Builds the scripted cases of the review and their stand-ins into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
    name=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand_ins review/stand_ins/harness.cpp "$case" \
        -o "target/review/case-$name" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
