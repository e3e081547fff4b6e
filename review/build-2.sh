#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2; the daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand_ins_2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS_RELEASE=-O2
cmake --build target/review-2 --target review_cases
