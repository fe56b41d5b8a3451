#!/usr/bin/env bash
# Installs what is needed, builds, starts a cell of each deployment with stand-ins, runs a mixed list of jobs, and
# prints the answers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
work=$(mktemp -d)
trap 'for cell in "$work"/*/; do scripts/cell.sh stop "$cell"; done; rm -rf "$work"' EXIT

submit() {
  curl -sS -m 30 -X POST "http://$1/v1/requests" -d "$2"
  echo
}

await_ready() {
  for _ in $(seq 100); do
    curl -sf -m 2 "http://$1/readyz" > /dev/null && return 0
    sleep 0.1
  done
  echo "demo.sh: the instance at $1 did not get ready" >&2
  exit 1
}

run_cell() {
  local deployment=$1
  shift
  scripts/cell.sh start "$work/$deployment" "$deployment" 4 12
  mapfile -t apis < "$work/$deployment/api"
  for api in "${apis[@]}"; do await_ready "$api"; done
  echo "== $deployment"
  local i=0
  for request in "$@"; do
    submit "${apis[$((i % ${#apis[@]}))]}" "$request"
    i=$((i + 1))
  done
}

run_cell horseshoe \
  '{"work_class":"quick-quote","team":"north","key":"quote-1","payload":"4 shoes"}' \
  '{"work_class":"quick-quote","team":"south","key":"quote-2","payload":"8 shoes"}' \
  '{"work_class":"fitting-batch","team":"north","key":"batch-1","run_time":"1s","payload":"stable 7","deadline":"20s"}' \
  '{"work_class":"forge-plan","team":"south","key":"plan-1","run_time":"1s","task_count":3,"all_at_once":true,"payload":"stable 9","deadline":"20s"}' \
  '{"work_class":"order","team":"north","key":"order-1","payload":"20 shoes"}' \
  '{"work_class":"order","team":"north","key":"order-1","payload":"20 shoes"}'
run_cell shipyard \
  '{"work_class":"cut-list","team":"bench","key":"list-1","payload":"cedar 4 m"}' \
  '{"work_class":"lashing-check","team":"float","key":"check-1","run_time":"0.5s","payload":"float 3"}' \
  '{"work_class":"hull-fairing","team":"lofting","key":"hull-1","no_wait":true,"run_time":"2s","payload":"hull 12"}'
