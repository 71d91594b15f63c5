#!/usr/bin/env bash
# Runs gateways as real processes under seeded faults; docs/contributing.md.
# tools/soak.sh --seed N [--minutes M] [--gateways G] [options of the program]
# tools/soak.sh --cases        runs the cases of tests/soak/cases.txt for CI
# tools/soak.sh --all-cases    runs all of them
set -euo pipefail
cd "$(dirname "$0")/.."

program=build/tests/cactusgw-soak
cases=
options=()
while [ $# -gt 0 ]; do
  case "$1" in
    --cases) cases='^ci ' ;;
    --all-cases) cases='^(ci|long) ' ;;
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
if [ -z "$cases" ]; then
  exec "$program" "${options[@]}"
fi
failed=0
while IFS='|' read -r _ seed case_options cause; do
  read -ra words <<<"$case_options"
  echo "case: seed $seed;$cause"
  "$program" --seed "${seed// /}" "${words[@]}" "${options[@]}" || failed=1
done < <(grep -E "$cases" tests/soak/cases.txt)
exit $failed
