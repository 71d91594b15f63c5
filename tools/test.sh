#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests but those that
# KNOWN-RED.txt lists; tools/check_known_red.sh prints these.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/build.sh
known_red="$(sed -n '/^[^#]/s/ *|.*//p' KNOWN-RED.txt | paste -sd '|')"
exclude=()
if [ -n "$known_red" ]; then
  exclude=(--exclude-regex "^($known_red)(/|$)")
fi
ctest --test-dir build --output-on-failure --parallel "$(nproc)" \
  "${exclude[@]}" "$@"
