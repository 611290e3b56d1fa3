#!/usr/bin/env bash
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/Releases ] && [ -x target/platform/redwingd-platform ] || exit 2
timeout -s KILL 118 build/review-3/Releases review/11/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
