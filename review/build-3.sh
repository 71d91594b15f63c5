#!/usr/bin/env bash
# Builds the scenarios of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/1[1-5]/scenario.cpp; do
  [ -f "$source" ] || continue
  name="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -pthread -I. "$source" -o "target/review-3/$name" \
    -lboost_json
done
