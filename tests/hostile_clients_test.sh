#!/usr/bin/env bash
# Clients outside the limits of the platform's pages, and servers whose answers do not end, against a real node with a
# stand-in of the store. Guards against a process that such a client or server ends by memory, or whose callers get no
# answers any more because of it. Cases run one after the other, each against a process of its own. Checked is only what
# does not depend on the speed of the machine: the process lives, its resident memory with the bytes that the kernel
# holds for it, received and unread or sent and not taken, and its open descriptors stayed under the bound, and an
# ordinary request is answered while the crowd is still connected. Prints "ok NAME" or "not ok NAME" for each case.
#   tests/hostile_clients_test.sh [CASE...]   only these cases, such as "ingress-trailers"
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
node=
standin=
# Settings of the node, and so the bounds: half of the memory of the smallest machine of the platform, and a third of
# its descriptors.
memory_mb=64
descriptors=1000
# Not empty: the settings do not say what the machine has.
without_machine=
# Bound of the growth of resident memory in a case, in KiB; 0 for none.
growth_kib=0
ulimit -n 4096 2> /dev/null
stop() { # PID
  [ -n "$1" ] && kill -KILL "$1" 2> /dev/null && wait "$1" 2> /dev/null
}
cleanup() {
  stop "$node"
  stop "$standin"
  rm -rf "$work"
}
trap cleanup EXIT
# Waits up to 20 s until a command succeeds.
await() {
  for _ in $(seq 200); do
    "$@" > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}
base=$((31000 + $$ % 1000))
answers() { # STATUS PORT PATH
  [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: cell.example' "http://127.0.0.1:$2$3")" = "$1" ]
}
# Starts the stand-in: MODE PART. Its addresses are in $store and $advice.
start_standin() {
  "$build/citronsill_hostile" "$@" > "$work/standin" 2>> "$work/log" &
  standin=$!
  await grep -q : "$work/standin"
  read -r store advice < "$work/standin"
  advice=${advice:-$store}
}
settings() {
  local machine=
  [ -n "$without_machine" ] || machine=", \"memory_mb\": $memory_mb, \"max_descriptors\": $descriptors"
  cat << JSON
{ "instance": "n-0", "failure_domain": "a", "region": "r", "processor_share": 0.25,
  "ingress_address": "127.0.0.1:$base", "readiness_address": "127.0.0.1:$((base + 1))",
  "link_address": "127.0.0.1:$((base + 2))", "metrics_address": "127.0.0.1:$((base + 3))",
  "seeds": [], "max_lease_ms": 6000, "gang_time_ms": 3000, "keep_finished_s": 120, "drain_time_s": 6,
  "store_address": "$store", "advice_address": "$advice"$machine }
JSON
}
start_node() {
  settings > "$work/node.json"
  "$build/citronsill_node" --settings "$work/node.json" > "$work/log" 2>&1 &
  node=$!
}
# NAME EXPECTED_STATUS MODE PART CASE TARGET_PORT ORDINARY_PORT PATH
run() {
  local name=$1 expected=$2 mode=$3 part=$4 crowd=$5 target=$6 ordinary=$7 path=$8
  shift 8
  if [ ${#only[@]} -gt 0 ] && [[ ! " ${only[*]} " =~ " $name " ]]; then return; fi
  : > "$work/standin"
  # shellcheck disable=SC2086
  start_standin $mode $part
  start_node
  await answers "$expected" "$ordinary" "$path"
  "$build/citronsill_hostile" "$crowd" --pid $node --target "$target" --ordinary "$ordinary" --path "$path" \
    --expect "$expected" --memory-kib $((memory_mb * 1024)) --descriptors $descriptors \
    --growth-kib $growth_kib > "$work/case" 2>&1
  local status=$?
  sed "s/^# [a-z-]*:/# $name:/" "$work/case"
  if [ $status -eq 0 ]; then
    echo "ok hostile: $name"
  else
    echo "not ok hostile: $name"
    tail -n 5 "$work/log" >&2
  fi
  stop "$node"
  stop "$standin"
  node=
  standin=
}
only=("$@")
caller=$base
ready=$((base + 1))
link=$((base + 2))
metrics=$((base + 3))

for crowd in trailers extension extensions slow-headers many-fields half-bodies half-chunked-bodies idle unread-answers \
  pipeline; do
  run "ingress-$crowd" 200 platform "" $crowd "$caller" "$caller" /short/
done
for crowd in trailers extension half-bodies idle unread-answers unread-closed; do
  run "metrics-$crowd" 200 platform "" $crowd "$metrics" "$metrics" /metrics
done
for crowd in trailers extension half-bodies idle; do
  run "readiness-$crowd" 200 platform "" $crowd "$ready" "$ready" /
done
for crowd in idle half-frames unread-calls; do
  run "link-$crowd" 200 platform "" $crowd "$link" "$caller" /short/
done
# Settings that do not say what the machine has, and the memory of the smallest machine.
without_machine=1 memory_mb=120
for crowd in half-bodies half-chunked-bodies; do
  run "ingress-$crowd-default" 200 platform "" $crowd "$caller" "$caller" /short/
done
without_machine='' memory_mb=64
# The process gets no processor time while the crowd sends. On the smallest machine three times as many are connected as
# here, hence half of the memory.
for crowd in stopped-new stopped-connected; do
  [ $crowd = stopped-connected ] && memory_mb=32
  run "ingress-$crowd" 200 platform "" $crowd "$caller" "$caller" /short/
  run "metrics-$crowd" 200 platform "" $crowd "$metrics" "$metrics" /metrics
  run "readiness-$crowd" 200 platform "" $crowd "$ready" "$ready" /
  run "link-$crowd" 200 platform "" $crowd "$link" "$caller" /short/
done
memory_mb=64
# Requests within the limits, of which the process keeps what it decodes.
for crowd in scheduled-jobs unplaceable-jobs repeated-job; do
  run "ingress-$crowd" 200 platform "" $crowd "$caller" "$caller" /short/
done
# No scheduler answers. 504 promises nothing about the job.
run "ingress-abandoned-jobs" 504 platform elsewhere abandoned-jobs "$caller" "$caller" /short/
# Beside the 95 MB that a scheduler takes, the smallest machine has 24 MB.
memory_mb=120 growth_kib=$((24 * 1024))
run "ingress-empty-steps" 200 platform "" empty-steps "$caller" "$caller" /short/
memory_mb=64 growth_kib=0
# A store whose answers do not end cannot be used: 503 promises that nothing runs.
for part in headers body extension trailers; do
  run "store-$part" 503 endless $part none "$caller" "$caller" /short/
done
run "store-stopped-body" 503 endless body stopped-none "$caller" "$caller" /short/
# The other worker still serves.
for part in headers body extension trailers; do
  run "worker-$part" 200 platform $part none "$caller" "$caller" /short/
done
run "worker-stopped-body" 200 platform body stopped-none "$caller" "$caller" /short/
