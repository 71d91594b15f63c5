#!/usr/bin/env bash
# Compares a load sent to an engine stand-in directly with the same load sent
# through an entry, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/build.sh
source tools/cluster.sh
cluster_start examples/demo
trap cluster_stop EXIT
cluster_wait_ready

# Warms the upstreams up first.
"$bin/cactusgw-load" --targets 127.0.0.1:17211 --keys demo-key \
  --model assessor-1 --requests 100 --concurrency 16 --lengths fixed:20 \
  >/dev/null

for concurrency in 1 8; do
  echo "== $concurrency at once, to the engine"
  "$bin/cactusgw-load" --direct --targets 127.0.0.1:17303 --model assessor-1 \
    --requests "$((concurrency * 10))" --concurrency "$concurrency" --lengths fixed:100 |
    grep -E "whole|first token|between"
  echo "== $concurrency at once, through the entry"
  "$bin/cactusgw-load" --targets 127.0.0.1:17211 --keys demo-key \
    --model assessor-1 --requests "$((concurrency * 10))" --concurrency "$concurrency" \
    --lengths fixed:100 | grep -E "whole|first token|between"
done
