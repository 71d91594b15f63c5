#!/usr/bin/env bash
# Runs gateways as real processes under seeded faults; docs/contributing.md.
# tools/soak.sh --seed N [--minutes M] [--gateways G] [options of the program]
# tools/soak.sh --cases    runs the cases of tests/soak/cases.txt
set -euo pipefail
cd "$(dirname "$0")/.."

program=build/tests/cactusgw-soak
has_cases=false
options=()
while [ $# -gt 0 ]; do
  case "$1" in
    --cases) has_cases=true ;;
    --program)
      program="$2"
      shift
      ;;
    --minutes)
      options+=(--seconds $(($2 * 60)))
      shift
      ;;
    *) options+=("$1") ;;
  esac
  shift
done
if ! $has_cases; then
  exec "$program" "${options[@]}"
fi
# Each case: seed | options | the cause that it guards against.
failed=0
while IFS='|' read -r seed case_options cause; do
  read -ra words <<<"$case_options"
  echo "case: seed $seed;$cause"
  "$program" --seed "${seed// /}" "${words[@]}" "${options[@]}" || failed=1
done < <(grep -v '^#' tests/soak/cases.txt)
exit $failed
