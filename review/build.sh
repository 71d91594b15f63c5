#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/harness \
    "$source" -o "target/review/case-$name"
done
