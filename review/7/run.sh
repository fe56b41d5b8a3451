#!/usr/bin/env bash
# Plays case 7 against target/citronsill_node and writes record.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-2/7
[ -x "$program" ] && [ -x target/citronsill_node ] || { echo "not built: see review/build-2.sh"; exit 2; }
work=$(mktemp -d)
timeout -k 2 115 "$program" "$work" "$PWD/target/citronsill_node" "$here/record.txt"
status=$?
rm -rf "$work"
[ "$status" -le 2 ] || status=2
exit "$status"
