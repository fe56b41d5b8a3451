#!/usr/bin/env bash
# Runs one case: run_case.sh CASE FOLDER. Writes FOLDER/record.txt. Exits with 1 if a rule was broken, 0 if all held,
# 2 if the case could not run. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
[ -x target/citronsill_node ] && [ -x review/bin/cell_standin ] || exit 2
work=$(mktemp -d)
standin=
cleanup() {
  [ -n "$standin" ] && kill -KILL "$standin" 2> /dev/null
  # Nodes that the stand-in could not end because it was killed.
  if [ -e "$work/pids" ]; then
    while read -r pid; do
      [ "$(readlink "/proc/$pid/exe" 2> /dev/null)" = "$PWD/target/citronsill_node" ] && kill -KILL "$pid"
    done < "$work/pids"
  fi
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
review/bin/cell_standin "$1" target/citronsill_node "$work" "$folder/record.txt" &
standin=$!
wait "$standin"
status=$?
standin=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
