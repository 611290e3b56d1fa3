#!/usr/bin/env bash
# Builds the stand-ins and the program that plays the scripted cases, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
build=()
for file in review/standins/*.cpp bench/HttpCall.cpp standins/platform/PlatformStore.cpp \
  standins/store/KeyValueStore.cpp standins/common/HttpServer.cpp src/core/*.cpp; do
  object=target/review/$(echo "${file%.cpp}" | tr / _).o
  build+=("$object")
  g++ -std=c++20 -O1 -fno-strict-aliasing -Wall -Wextra -Wno-psabi -I. -Isrc -Istandins -c "$file" -o "$object" &
  while [ "$(jobs -rp | wc -l)" -ge "${REDWING_JOBS:-4}" ]; do wait -n; done
done
for job in $(jobs -p); do wait "$job"; done
g++ "${build[@]}" -o target/review/cases -lglog -lxxhash -lcrypto -lpthread
