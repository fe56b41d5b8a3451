#!/usr/bin/env bash
# Fault injection with real processes: a cell of several instances under load, one kind of fault for each case. A case
# passes when the histories of the workers and the answers to the callers violate no invariant and every request has an
# outcome. Prints "ok NAME" or "not ok NAME" for each case. Arguments name the cases to run (default: all).
set -uo pipefail
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build}
work=$(mktemp -d)
trap 'for cell in "$work"/*/; do scripts/cell.sh stop "$cell"; done; rm -rf "$work"' EXIT

pid() { cat "$cell/$1.pid"; }
# fault ADDRESS/PATH: sends a POST request.
fault() { curl -s -m 5 -X POST "http://$1" > "/dev/null"; }
platform() { fault "127.0.0.1:$base/fault/$1"; }
relay() { fault "127.0.0.1:$((base + 1))/$1"; }
each_worker() { for ((w = 0; w < workers; w++)); do fault "127.0.0.1:$((base + 100 + w))/fault/$1"; done; }

# One function for each case. It runs concurrently with the load, ends by itself, and uses the variables of run_case:
# cell (folder of the cell), name (deployment) and base (first port).
healthy() { :; }
# Guards against accepted work that is lost when its owner dies.
kill_one() { sleep 3; kill -KILL "$(pid "$name-1")"; }
# Guards against lost work when a second instance dies during the recovery from the first.
kill_twice() { sleep 3; kill -KILL "$(pid "$name-1")"; sleep 4; kill -KILL "$(pid "$name-2")"; }
# Guards against an owner that continues after its partitions were taken over: it is stopped and resumed.
freeze() { sleep 3; kill -STOP "$(pid "$name-1")"; sleep 12; kill -CONT "$(pid "$name-1")"; }
# Guards against work that is accepted or lost during an outage of the table that is longer than every lease.
table_down() { sleep 3; platform down; sleep 14; platform none; }
# Guards against faults in handling table writes that take effect although their answers are lost.
lost_answers() { sleep 3; platform lose; sleep 6; platform none; }
# Guards against lost work when an instance dies during an outage of the table, which delays the takeover.
kill_and_table_down() { sleep 3; platform down; kill -KILL "$(pid "$name-1")"; sleep 8; platform none; }
# Guards against hanging on open connections that never carry data again while new connections work.
silence() { sleep 3; relay silence; platform silence; each_worker silence; sleep 3; relay silence; }
# Guards against one-way network partitions: an instance whose messages arrive but that receives none, and the reverse.
one_way() { sleep 3; relay 'forward?1'; sleep 8; relay 'backward?1'; sleep 8; relay none; }
# Guards against work that is lost or interrupted by a rolling restart of all instances.
replace_all() {
  local i
  sleep 2
  for ((i = 0; i < instances; i++)); do
    kill -TERM "$(pid "$name-$i")"
    for _ in $(seq 150); do kill -0 "$(pid "$name-$i")" 2> /dev/null || break; sleep 0.1; done
    kill -KILL "$(pid "$name-$i")" 2> /dev/null
    scripts/cell.sh restart "$cell" "$name-$i"
    sleep 2
  done
}
# Guards against a worker that fails all its tasks and takes work away from the healthy workers.
failing_worker() { sleep 2; fault "127.0.0.1:$((base + 100))/fault/fail"; }

instances=5
workers=12

# run_case CASE BASE_PORT DEPLOYMENT [SECONDS]: writes CASE.result and, after a failure, CASE.detail.
run_case() {
  local case=$1 base=$2 name=$3 seconds=${4:-15}
  local cell=$work/$case
  BASE_PORT=$base RELAY=1 TASK_LEASE=8s scripts/cell.sh start "$cell" "$name" $instances $workers
  local entries
  entries=$(paste -sd, "$cell/api")
  for _ in $(seq 200); do
    curl -sf -m 2 "http://${entries%%,*}/readyz" > "/dev/null" && break
    sleep 0.1
  done
  sleep 2
  "$case" &
  local fault=$!
  if "$BUILD/citronsill_load" --entries "$entries" --platform "127.0.0.1:$base" --deployment "$name" \
    --rate 30 --seconds "$seconds" --settle 90 --prefix "$case" > "$cell/load.json" 2> "$cell/load.err" &&
    grep -q '"without_outcome": 0' "$cell/load.json"; then
    echo "ok failures: $case ($name)" > "$work/$case.result"
  else
    echo "not ok failures: $case ($name)" > "$work/$case.result"
    { cat "$cell/load.json" "$cell/load.err"; grep -h -E 'level=(warn|error)' "$cell"/*.log | tail -n 20; } \
      >> "$work/$case.detail"
  fi
  wait "$fault"
  scripts/cell.sh stop "$cell"
  if [ -n "${KEEP:-}" ]; then mkdir -p "$KEEP" && cp -r "$cell" "$work/$case".* "$KEEP/"; fi
}

cases=("$@")
if [ ${#cases[@]} -eq 0 ]; then
  cases=(healthy kill_one kill_twice freeze table_down lost_answers kill_and_table_down silence one_way replace_all
    failing_worker)
fi
base=27000
for case in "${cases[@]}"; do
  deployment=horseshoe
  case $case in silence | one_way | kill_and_table_down | failing_worker) deployment=shipyard ;; esac
  seconds=15
  case $case in replace_all | freeze | table_down | one_way) seconds=25 ;; esac
  # At most three cases run at a time: with more, the load on the machine would cause late answers.
  while [ "$(jobs -rp | wc -l)" -ge 3 ]; do sleep 0.2; done
  run_case "$case" $base $deployment $seconds &
  base=$((base + 300))
done
wait
for case in "${cases[@]}"; do
  [ -e "$work/$case.result" ] || echo "not ok failures: $case (no result)" > "$work/$case.result"
done
cat "$work"/*.result
cat "$work"/*.detail 2> "/dev/null" || true
! grep -q '^not ok' "$work"/*.result
