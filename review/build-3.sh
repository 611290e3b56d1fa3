#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into build/review-3, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
parts=(
  standins/platform/PlatformStore.cpp
  standins/store/KeyValueStore.cpp
  standins/common/HttpServer.cpp
  src/core/Address.cpp
  src/core/Base64.cpp
  src/core/Hash.cpp
)
objects=()
flags=(-std=c++20 -O1 -Ireview/standins-3 -Istandins -Isrc -I.)
for part in "${parts[@]}"; do
  object="build/review-3/$(basename "$part" .cpp).o"
  g++ "${flags[@]}" -c "$part" -o "$object" &
  objects+=("$object")
done
wait
for program in review/standins-3/*.cpp; do
  name="$(basename "$program" .cpp)"
  g++ "${flags[@]}" "$program" "${objects[@]}" -o "build/review-3/$name" -lcrypto -lxxhash -lpthread
done
