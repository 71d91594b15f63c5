#!/usr/bin/env bash
# Runs the whole system on this machine: the platform stand-in, three engine
# stand-ins and two data centres of two VMs each, and sends one streaming
# request through it.
#
#   tools/demo.sh          run one request, print it, stop everything
#   tools/demo.sh --keep   leave it running and print commands to try
set -euo pipefail
cd "$(dirname "$0")/.."

keep=false
case "${1:-}" in
  --keep) keep=true ;;
  "") ;;
  *)
    echo "usage: tools/demo.sh [--keep]" >&2
    exit 2
    ;;
esac

tools/build.sh
source tools/cluster.sh
cluster_start examples/demo
if ! $keep; then
  trap cluster_stop EXIT
fi

cluster_wait_ready
entry="127.0.0.1:17211"
echo "Tokens as they arrive:"
code=0
# The background job may start to write only after tail has opened the file.
: >"$run/answer.txt"
"$bin/cactusgw-load" --targets "$entry" --keys demo-key --model assessor-1 \
  --requests 1 --lengths fixed:60 --print >"$run/answer.txt" 2>&1 &
load=$!
tail -f --pid="$load" -n +1 "$run/answer.txt"
wait "$load" || code=$?
cluster_served_by

if $keep; then
  cat <<TEXT

The system goes on running. To try it:
  curl -N http://$entry/v1/chat/completions -H 'Authorization: Bearer demo-key' \\
    -d '{"model":"assessor-1","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
  curl http://$entry/v1/models -H 'Authorization: Bearer demo-key'
  build/src/cactusgw/cactusgwctl --settings $run/ctl.json status
To stop it:
  kill \$(cat $run/pids)
TEXT
else
  trap - EXIT
  cluster_stop
fi
exit "$code"
