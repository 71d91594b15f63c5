# Functions that start and stop a system of stand-ins and daemons on loopback.
# Sourced by the other scripts; the current folder is the repository's root.

bin="${CACTUSGW_BUILD:-build}/src/cactusgw"
standins="${CACTUSGW_BUILD:-build}/tests"
run="$(mktemp -d "${TMPDIR:-/tmp}/cactusgw.XXXXXX")"
token="operator-token"
vms=(gent-a:1 gent-a:2 gent-b:1 gent-b:2)

# Starts a program in the background and notes its process id.
cluster_spawn() {
  local name="$1"
  shift
  "$@" >"$run/$name.log" 2>&1 &
  echo $! >>"$run/pids"
}

# The last two digits of a VM's ports: data centre and number.
cluster_digits() {
  case "$1" in
    gent-a:*) echo "1${1##*:}" ;;
    gent-b:*) echo "2${1##*:}" ;;
  esac
}

cluster_write_settings() {
  local dc="${1%%:*}" number="${1##*:}" digits
  digits="$(cluster_digits "$1")"
  cat >"$run/agent-$dc-$number.json" <<JSON
{
  "vm": "$dc-$number",
  "dataCentre": "$dc",
  "platform": "127.0.0.1:17000",
  "entryListen": "127.0.0.1:174$digits",
  "peerListen": "127.0.0.1:171$digits",
  "seeds": ["127.0.0.1:17111", "127.0.0.1:17121"],
  "operator": { "listen": "127.0.0.1:175$digits", "token": "$token" },
}
JSON
  cat >"$run/entry-$dc-$number.json" <<JSON
{
  "vm": "$dc-$number",
  "dataCentre": "$dc",
  "listen": "127.0.0.1:172$digits",
  "agent": "127.0.0.1:174$digits",
  "operator": { "listen": "127.0.0.1:176$digits", "token": "$token" },
  "unreadyMs": 500,
}
JSON
}

cluster_start() {
  local vm dc number
  : >"$run/pids"
  cluster_spawn platform "$standins/platform-standin" --listen 127.0.0.1:17000
  for i in 1 2 3; do
    cluster_spawn "engine-$i" "$standins/engine-standin" \
      --listen "127.0.0.1:1730$i" --warm 16 --seed "$i"
  done
  cluster_retry 50 "$bin/cactusgwctl" --platform 127.0.0.1:17000 \
    config apply "$1"
  for vm in "${vms[@]}"; do
    dc="${vm%%:*}"
    number="${vm##*:}"
    cluster_write_settings "$vm"
    cluster_spawn "agent-$dc-$number" "$bin/cactusgw-agent" \
      --settings "$run/agent-$dc-$number.json"
    cluster_spawn "entry-$dc-$number" "$bin/cactusgw-entry" \
      --settings "$run/entry-$dc-$number.json"
  done
  cat >"$run/ctl.json" <<JSON
{
  "platform": "127.0.0.1:17000",
  "operators": ["127.0.0.1:17511", "127.0.0.1:17512", "127.0.0.1:17521",
                "127.0.0.1:17522"],
  "token": "$token",
}
JSON
  cat >"$run/timeline.json" <<JSON
{
  "operators": ["127.0.0.1:17511", "127.0.0.1:17512", "127.0.0.1:17521",
                "127.0.0.1:17522", "127.0.0.1:17611", "127.0.0.1:17612",
                "127.0.0.1:17621", "127.0.0.1:17622"],
  "token": "$token",
}
JSON
}

# Runs a command until it succeeds, up to so many tries.
cluster_retry() {
  local tries="$1"
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  "$@"
}

# Whether every data centre's upstreams have an owner that grants credits.
cluster_is_ready() {
  ! "$bin/cactusgwctl" --settings "$run/ctl.json" status --json |
    grep -q '"source":"none"'
}

# Waits until every entry is ready and credits have been granted.
cluster_wait_ready() {
  local digits
  for digits in 11 12 21 22; do
    cluster_retry 100 bash -c \
      "exec 3<>/dev/tcp/127.0.0.1/176$digits &&
       printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 && grep -q ' 200 ' <&3"
  done
  cluster_retry 200 cluster_is_ready
}

# Tells which VM and upstream served the last request.
cluster_served_by() {
  exec 3<>/dev/tcp/127.0.0.1/17611
  printf 'GET /events HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n' "$token" >&3
  grep '"request-sent"' <&3 | tail -1 |
    sed -E 's/.*"process":"([^"]*)".*"subject":"([^"]*)".*/served by \1 on \2/'
  exec 3<&-
}

# Stops everything gracefully, and fails when a daemon did not end well.
cluster_stop() {
  local pid code=0
  for pid in $(tac "$run/pids"); do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in $(cat "$run/pids"); do
    wait "$pid" || code=1
  done
  rm -rf "$run"
  return "$code"
}
