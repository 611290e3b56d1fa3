#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/review-2. Needs g++ and nlohmann-json, which
# the deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
pids=()
for program in Releases LogReader LateHeartbeat EvacuatedQuiet QuotaAfterCrash; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$program" \
    review/play-2/Stage.cpp "review/play-2/$program.cpp" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
