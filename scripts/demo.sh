#!/usr/bin/env bash
# Installs the dependencies, builds, starts a cell of each deployment with stand-ins, submits a list of various jobs,
# and prints the answers and the report.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
build=${BUILD:-build}
work=$(mktemp -d)
trap 'for cell in "$work"/*/; do scripts/cell.sh stop "$cell"; done; rm -rf "$work"' EXIT

await_ready() {
  for _ in $(seq 200); do
    curl -sf -m 2 "http://$1/readyz" > "/dev/null" && return 0
    sleep 0.1
  done
  echo "demo.sh: the instance at $1 did not become ready" >&2
  exit 1
}

run_cell() {
  local deployment=$1 api servers
  scripts/cell.sh start "$work/$deployment" "$deployment" 4 12
  while read -r api; do await_ready "$api"; done < "$work/$deployment/api"
  servers=$(paste -sd, "$work/$deployment/api")
  echo "== $deployment: $(wc -l < "$work/$deployment/api") entry instances, 12 workers"
  "$build/citronsill" submit --server "$servers" --file "examples/$deployment-jobs.json" || echo "exit code $?"
  echo "== $deployment: report"
  "$build/citronsill" report --server "$servers"
}

run_cell horseshoe
run_cell shipyard
