#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/LateResend ] && [ -x target/platform/redwingd-platform ] || exit 2
timeout -s KILL 60 build/review-3/LateResend review/14/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
