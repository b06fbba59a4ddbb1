# Functions that start and stop a small deployment on loopback with free ports. Sourced by
# scripts/demo and the process tests; needs the variables bin (folder of the programs) and
# work (an empty folder for logs and process ids).

declare -A pid_of address_of

# start NAME PROGRAM [FLAG...] starts a program and waits for its "listening" line.
start() {
  local name=$1 program=$2
  shift 2
  : >"$work/$name.out"
  "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pid_of[$name]=$!
  for _ in $(seq 1 200); do
    address_of[$name]=$(awk '$1 == "listening" {print $2}' "$work/$name.out")
    [ -n "${address_of[$name]}" ] && return 0
    kill -0 "${pid_of[$name]}" 2>/dev/null || break
    sleep 0.05
  done
  echo "error: $program ($name) did not start:" >&2
  cat "$work/$name.log" >&2
  return 1
}

# stop_all ends everything that start has started.
stop_all() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -KILL "${pid_of[$name]}" 2>/dev/null || continue
  done
  wait 2>/dev/null
}

# start_router NAME FAILURE_DOMAIN [PEER_ADDRESS] starts an entry instance that knows the routers in
# `seeds`; a replacement takes the peer address of its predecessor.
start_router() {
  local name=$1 domain=$2 peer=${3:-127.0.0.1:0}
  start "$name" jujubevalve-router --instance="$name" --failure_domain="$domain" \
    --region=jm-south --peer_listen="$peer" --seeds="$seeds" --settle_ms=500 --config_poll_ms=500 --gossip_ms=300 \
    --stopping_grace_ms=500 --recovery_records_ms=0
  seeds+=${seeds:+,}$(peer_of "$name")
}

# wait_ready NAME waits until a router takes requests.
wait_ready() {
  for _ in $(seq 1 200); do
    curl -sf -m 2 "http://${address_of[$1]}/readyz" >/dev/null && return 0
    sleep 0.05
  done
  echo "error: $1 did not become ready" >&2
  return 1
}

# peer_of NAME and incarnation_of NAME print what a router has announced at its start.
peer_of() { awk '{print $4}' "$work/$1.out"; }
incarnation_of() { awk '{print $6}' "$work/$1.out"; }

# number FIELD FILE prints a number from a file of flat JSON.
number() {
  sed -n "s/.*\"$1\": *\(-\{0,1\}[0-9]\{1,\}\).*/\1/p" "$2" | head -1
}
