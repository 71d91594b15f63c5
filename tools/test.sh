#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/build.sh
ctest --test-dir build --output-on-failure --parallel "$(nproc)" "$@"
