#!/usr/bin/env bash
# Starts and stops a local cell, including the stand-ins of the platform, for trials and tests.
#   scripts/cell.sh start DIR DEPLOYMENT [INSTANCES] [WORKERS]   DEPLOYMENT is horseshoe or shipyard
#   scripts/cell.sh restart DIR NAME
#   scripts/cell.sh stop DIR
# Settings, logs and process ids are written to DIR. BUILD names the build folder (default: build). With RELAY=1 the
# instances connect to one another through relay_standin, whose control address is written to DIR/relay. BASE_PORT sets
# the first port, TASK_LEASE the lease of tasks (default: 30s).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$root/build}

start() {
  local dir=$1 deployment=$2 instances=${3:-3} workers=${4:-10}
  local base platform size
  case $deployment in
    horseshoe) base=${BASE_PORT:-21000}; size=(--processors 32 --memory-mb 131072 --per-rack 6 --domains 4) ;;
    shipyard) base=${BASE_PORT:-22000}; size=(--processors 16 --memory-mb 32768 --per-rack 8 --domains 3) ;;
    *) echo "cell.sh: unknown deployment $deployment" >&2; exit 2 ;;
  esac
  platform=127.0.0.1:$base
  mkdir -p "$dir"
  echo "$platform" > "$dir/platform"
  run platform "$build/platform_standin" --address "$platform"
  await_port "$base"
  run workers "$build/worker_standin" --platform "$platform" --prefix "$deployment" \
    --first-port $((base + 100)) --count "$workers" "${size[@]}"
  : > "$dir/api"
  local entries=() maps=() peer_base=$((base + 40))
  [ -z "${RELAY:-}" ] || peer_base=$((base + 70))
  for ((i = 0; i < instances; i++)); do
    sed -e "s/\"instance_id\": *\"[^\"]*\"/\"instance_id\": \"$deployment-$i\"/" \
      -e "s/\"failure_domain\": *\"[^\"]*\"/\"failure_domain\": \"domain-$((i % 3))\"/" \
      -e "s/\"api_address\": *\"[^\"]*\"/\"api_address\": \"127.0.0.1:$((base + 10 + i))\"/" \
      -e "s/\"peer_address\": *\"[^\"]*\"/\"peer_address\": \"127.0.0.1:$((base + 40 + i))\"/" \
      -e "s/\"threads\"/\"peer_advertise_address\": \"127.0.0.1:$((peer_base + i))\", \"threads\"/" \
      -e "s/\"task_lease\": *\"[^\"]*\"/\"task_lease\": \"${TASK_LEASE:-30s}\"/" \
      -e "s/\"\(table\|directory\|objects\)_address\": *\"[^\"]*\"/\"\1_address\": \"$platform\"/" \
      "$root/examples/$deployment.json" > "$dir/$deployment-$i.json"
    entries+=("{\"id\":\"$deployment-$i\",\"address\":\"127.0.0.1:$((peer_base + i))\"}")
    maps+=("127.0.0.1:$((base + 70 + i))=127.0.0.1:$((base + 40 + i))")
    echo "127.0.0.1:$((base + 10 + i))" >> "$dir/api"
  done
  if [ -n "${RELAY:-}" ]; then
    run relay "$build/relay_standin" --control "127.0.0.1:$((base + 1))" --map "${maps[@]}"
    echo "127.0.0.1:$((base + 1))" > "$dir/relay"
    await_port $((base + 70))
  fi
  post "$platform" /directory/add "{\"instances\":[$(IFS=,; echo "${entries[*]}")]}"
  for ((i = 0; i < instances; i++)); do
    run "$deployment-$i" "$build/citronsilld" --settings "$dir/$deployment-$i.json"
  done
}

run() {
  local name=$1
  shift
  "$@" >> "$dir/$name.log" 2>&1 &
  echo $! > "$dir/$name.pid"
}

# Waits until a port accepts connections.
await_port() {
  for _ in $(seq 100); do
    (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null && return 0
    sleep 0.05
  done
  echo "cell.sh: nothing listens on port $1" >&2
  exit 1
}

# Sends one HTTP POST request without external programs such as curl.
post() {
  local host=${1%:*} port=${1#*:}
  exec 3<> "/dev/tcp/$host/$port"
  printf 'POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$2" "${#3}" "$3" >&3
  cat <&3 > /dev/null
  exec 3>&-
}

stop() {
  local dir=$1 pid
  for file in "$dir"/*.pid; do
    pid=$(cat "$file")
    kill -KILL "$pid" 2> /dev/null || true
    rm -f "$file"
  done
}

# Starts an instance again whose process has ended.
restart() {
  local dir=$1 name=$2
  run "$name" "$build/citronsilld" --settings "$dir/$name.json"
}

command=${1:-}
shift || true
case $command in
  start) dir=$1; start "$@" ;;
  stop) stop "$@" ;;
  restart) dir=$1; restart "$@" ;;
  *) sed -n '2,8p' "$0" >&2; exit 2 ;;
esac
