#!/usr/bin/env bash
# Runs the linter over all sources of the build.
# --first K/N: only over K of each N files; --rest K/N: only over the others
# --jobs J: files at a time; as many as there are processors without it
set -euo pipefail
cd "$(dirname "$0")/.."

jobs="$(nproc)"
which=all
share=1/1
while [ $# -gt 0 ]; do
  case "$1" in
    --first | --rest)
      which="${1#--}"
      share="$2"
      ;;
    --jobs) jobs="$2" ;;
    *)
      echo "check_lint.sh: unknown option $1" >&2
      exit 2
      ;;
  esac
  shift 2
done

mapfile -t all < <(git ls-files --cached --others --exclude-standard \
  'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' ':!:src/cactusgw/net/internal/asio_library.cpp')
files=()
for i in "${!all[@]}"; do
  part=first
  if [ $((i % ${share#*/})) -ge "${share%/*}" ]; then
    part=rest
  fi
  if [ "$which" = all ] || [ "$which" = "$part" ]; then
    files+=("${all[$i]}")
  fi
done
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
# The linter's compiler has coroutines, but not the macro that says so.
if ! printf '%s\n' "${files[@]}" |
  xargs -P "$jobs" -n 1 clang-tidy --quiet -p build \
    --extra-arg=-D__cpp_impl_coroutine=201902L \
    --extra-arg=-Wno-unknown-warning-option >"$log" 2>/dev/null; then
  grep -E "warning:|error:" "$log" | sort -u
  exit 1
fi
echo "Linted without a finding: ${#files[@]} files."
