#!/usr/bin/env bash
# Installs what is missing and builds into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install.sh
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
if ! { cmake -S . -B build -G Ninja && cmake --build build; } >"$log" 2>&1; then
  cat "$log"
  exit 1
fi
