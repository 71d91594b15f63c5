#!/usr/bin/env bash
# Installs what is missing and builds into build/, or into $CACTUSGW_BUILD.
set -euo pipefail
cd "$(dirname "$0")/.."

build="${CACTUSGW_BUILD:-build}"
tools/install.sh
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
# Configuring again reorders the flags that pkg-config reports, which makes
# everything build again; the build itself notices changed CMake files.
configure() {
  [ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja
}
if ! { configure && cmake --build "$build"; } >"$log" 2>&1; then
  cat "$log"
  exit 1
fi
