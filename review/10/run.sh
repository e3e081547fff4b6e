#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/review_case_10
daemon=target/src/berylwing/berylwingd
[ -x "$case" ] && [ -x "$daemon" ] || { echo "build with the deploy file and review/build-2.sh first"; exit 2; }
timeout 110 "$case" "$daemon" review/10
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
