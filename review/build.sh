#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review/. Needs the packages of
# deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
shared=(modules/standins/site/row_store.cpp platform/store_codec.cpp modules/budget/json_fields.cpp
  modules/core/clock.cpp modules/core/result_code.cpp)
flags=(-std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict
  -I. -Imodules -Ireview/tests)
objects=()
pids=()
for source in review/tests/{harness,crashing_prompts}.cpp "${shared[@]}"; do
  object=target/review/$(basename "${source%.cpp}").o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in review/tests/case_*.cpp; do
  g++ "${flags[@]}" "$source" "${objects[@]}" -lcrypto \
    -o "target/review/$(basename "${source%.cpp}")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
