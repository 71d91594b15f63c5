#!/usr/bin/env bash
# Builds the programs of the second review's cases into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
  source="review/$n/scenario.cpp"
  if [ -e "$source" ]; then
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/harness-2 \
      "$source" -o "target/review-2/case-$n"
  fi
done
