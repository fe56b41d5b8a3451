#!/usr/bin/env bash
# A short fault soak of real processes with fixed seeds. Longer ones: build/citronsill_soak --help.
# Guards against promises that hold in model time and break between processes, sockets and signals.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for seed in 1 2; do
  "$build/citronsill_soak" --node "$build/citronsill_node" --directory "$work" --seed $seed --seconds 8 \
    --port $((16000 + 400 * seed)) > "$work/$seed.out" 2>&1 &
done
wait
cat "$work"/*.out
! grep -q '^not ok' "$work"/*.out
