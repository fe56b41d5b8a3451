#!/usr/bin/env bash
# A short fault soak of real processes with fixed seeds. Longer ones: build/citronsill_soak --help.
# Guards against promises that hold in model time and break between processes, sockets and signals.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
run() { # SEED SECONDS PORT
  "$build/citronsill_soak" --node "$build/citronsill_node" --directory "$work" --seed "$1" --seconds "$2" \
    --port "$3" > "$work/$1.out" 2>&1 &
}
run 1 8 16400
run 2 8 16800
wait
# Seeds that failed: a frozen scheduler denied jobs of its successor (docs/incidents/2026-12-04-frozen-scheduler.md).
run 104 15 17200
run 202 15 17600
wait
cat "$work"/*.out
! grep -q '^not ok' "$work"/*.out
