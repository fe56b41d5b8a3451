#!/usr/bin/env bash
# Measures processor time, memory and network traffic of one instance, idle and under load, for several cell sizes.
#   scripts/capacity.sh [INSTANCES:WORKERS:RATE ...]      default: 8:50:0 8:200:0 8:400:0 8:400:50 8:400:100 8:400:200
# RATE is in requests per second, 0 for idle. Prints one line of key=value pairs for each size. Bytes are counted on the
# loopback device, so they include all traffic of the load generator and the stand-ins. SECONDS_EACH sets the length
# of each measurement in seconds (default: 10), BASE_PORT the first port, and BUILD the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
seconds=${SECONDS_EACH:-10}
work=$(mktemp -d)
trap 'for cell in "$work"/*/; do scripts/cell.sh stop "$cell"; done; rm -rf "$work"' EXIT
ticks_per_second=$(getconf CLK_TCK)

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS|^RssAnon/ {printf "%s ", $2}' "/proc/$1/status"; }
loopback_bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }

measure() {
  local instances=$1 workers=$2 rate=$3 cell=$work/$1-$2-$3
  BASE_PORT=${BASE_PORT:-31000} scripts/cell.sh start "$cell" horseshoe "$instances" "$workers"
  sleep 15
  local pids=() before=() i
  for ((i = 0; i < instances; i++)); do
    pids+=("$(cat "$cell/horseshoe-$i.pid")")
    before+=("$(ticks "${pids[i]}")")
  done
  local table bytes
  table=$(curl -s "http://$(cat "$cell/platform")/counts")
  bytes=$(loopback_bytes)
  if [ "$rate" -gt 0 ]; then
    "$BUILD/citronsill_load" --entries "$(paste -sd, "$cell/api")" --platform "$(cat "$cell/platform")" \
      --deployment horseshoe --rate "$rate" --seconds "$seconds" --settle 30 > "$cell/load.json" || true
  else
    sleep "$seconds"
  fi
  bytes=$(($(loopback_bytes) - bytes))
  local total=0 max=0 used rss=0 anon=0 memory
  for ((i = 0; i < instances; i++)); do
    used=$(($(ticks "${pids[i]}") - before[i]))
    total=$((total + used))
    [ "$used" -le "$max" ] || max=$used
    memory=($(resident_kb "${pids[i]}"))
    [ "${memory[0]}" -le "$rss" ] || rss=${memory[0]}
    [ "${memory[1]}" -le "$anon" ] || anon=${memory[1]}
  done
  awk -v n="$instances" -v w="$workers" -v r="$rate" -v s="$seconds" -v t="$total" -v m="$max" -v h="$ticks_per_second" \
    -v rss="$rss" -v anon="$anon" -v b="$bytes" 'BEGIN {
    printf "instances=%d workers=%d rate=%d core_percent_mean=%.2f core_percent_most=%.2f rss_kb_most=%d anon_kb_most=%d loopback_bytes_a_second=%d bytes_a_second_an_instance=%d\n",
      n, w, r, 100 * t / h / s / n, 100 * m / h / s, rss, anon, b / s, b / s / n }'
  echo "  table before $table, after $(curl -s "http://$(cat "$cell/platform")/counts")"
  scripts/cell.sh stop "$cell"
}

sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8:50:0 8:200:0 8:400:0 8:400:50 8:400:100 8:400:200)
for size in "${sizes[@]}"; do
  IFS=: read -r instances workers rate <<< "$size"
  measure "$instances" "$workers" "$rate"
done
