#!/usr/bin/env bash
# Fails when a name of the platform's interfaces stands outside platform/ and
# deploy/, in sources or tests of the product.
set -euo pipefail
cd "$(dirname "$0")/.."

names='X-Cactusgw-|storeRevision|afterRevision|coldRemainingMs|streamResumption'
names+='|targetLatencyMs|trafficSplit|kv-move|kv-handle|Kv-From|/v1/objects/config'
if git grep -nE "$names" -- src tests examples benchmarks proto \
  ':!tests/platform'; then
  echo "Names of the platform belong into platform/." >&2
  exit 1
fi
echo "No name of the platform outside platform/ and deploy/."
