#!/usr/bin/env bash
# Builds with AddressSanitizer and UndefinedBehaviorSanitizer into
# build-sanitize/, and runs all tests, the demo and review case 1 on it.
#
#   JOBS=3 tools/sanitize.sh [options of ctest]    runs fewer jobs at once
set -euo pipefail
cd "$(dirname "$0")/.."

jobs="${JOBS:-$(nproc)}"
export CACTUSGW_BUILD=build-sanitize
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=0:abort_on_error=1}"
export UBSAN_OPTIONS="${UBSAN_OPTIONS:-print_stacktrace=1}"

if [ ! -f "$CACTUSGW_BUILD/build.ninja" ]; then
  cmake -S . -B "$CACTUSGW_BUILD" -G Ninja -DCACTUSGW_SANITIZE=ON
fi
cmake --build "$CACTUSGW_BUILD" --parallel "$jobs"

code=0
ctest --test-dir "$CACTUSGW_BUILD" --output-on-failure --parallel "$jobs" "$@" ||
  code=1
tools/demo.sh || code=1
review/build.sh
record="$(mktemp)"
GATEWAY="$CACTUSGW_BUILD/platform/cactusgw-gateway" \
  target/review/case-1 "$record" || code=1
rm -f "$record"
exit "$code"
