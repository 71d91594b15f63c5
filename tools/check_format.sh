#!/usr/bin/env bash
# Fails when a source file is not formatted; with --fix, formats all.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp' 'tests/*.cpp' 'tests/*.hpp' 'examples/*.cpp' \
  'benchmarks/*.cpp' ':!:src/cactusgw/wire/*')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
echo "Formatted as they should be: ${#files[@]} files."
