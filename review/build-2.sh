#!/usr/bin/env bash
# Builds the stand-ins and cases of review/6 to review/10 into target/review-2/, after the build of
# the deploy file. They need a C++20 compiler and the header of nlohmann-json, both of which that
# build needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
sources=review/second/tests
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
"${CXX:-g++}" "${flags[@]}" -c -o "$out/harness.o" "$sources/harness.cpp"
"${CXX:-g++}" "${flags[@]}" -c -o "$out/site.o" "$sources/site.cpp"
for source in "$sources"/case_*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" "${flags[@]}" -o "$out/$name" "$source" "$out/site.o" "$out/harness.o"
done
