#!/usr/bin/env bash
# The program citronsill_node as its platform runs it, without a store: command line, settings, metrics, reload and
# shutdown. Prints "ok NAME" or "not ok NAME" for each case.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
node=
cleanup() {
  [ -n "$node" ] && kill -KILL "$node" 2> /dev/null
  rm -rf "$work"
}
trap cleanup EXIT
report() { # CONDITION_STATUS NAME
  if [ "$1" -eq 0 ]; then echo "ok $2"; else echo "not ok $2"; cat "$work/log" >&2; fi
}
# Waits up to 8 s until a command succeeds.
await() {
  for _ in $(seq 80); do
    "$@" > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}
base=$((20000 + $$ % 10000))
: > "$work/log"
settings() { # DRAIN_TIME
  cat << JSON
{ "instance": "n-0", "failure_domain": "a", "region": "r", "processor_share": 0.25,
  "ingress_address": "127.0.0.1:$base", "readiness_address": "127.0.0.1:$((base + 1))",
  "link_address": "127.0.0.1:$((base + 2))", "metrics_address": "127.0.0.1:$((base + 3))",
  "seeds": [], "max_lease_ms": 6000, "gang_time_ms": 3000, "keep_finished_s": 120, "drain_time_s": $1,
  // Nothing listens there.
  "store_address": "127.0.0.1:$((base + 4))", "advice_address": "127.0.0.1:$((base + 4))" }
JSON
}

# Guards against an error in the settings that --check does not report.
settings 6 > "$work/node.json"
"$build/citronsill_node" --check --settings "$work/node.json" > /dev/null 2>&1
report $? "node: valid settings pass the check"
settings '"soon"' > "$work/bad.json"
"$build/citronsill_node" --check --settings "$work/bad.json" > /dev/null 2> "$work/err"
[ $? -eq 3 ] && grep -q 'drain_time_s is "soon"' "$work/err"
report $? "node: an error in the settings is named, exit code 3"

# Guards against an instance that reports itself ready while it cannot serve callers, or exits without the store.
CITRONSILL_CONFIG=$work/node.json "$build/citronsill_node" > "$work/log" 2>&1 &
node=$!
await curl -sf "http://127.0.0.1:$((base + 3))/metrics"
status=$?
[ $status -eq 0 ] && [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((base + 1))/")" = 503 ]
report $? "node: without the store it runs, serves metrics and is not ready"

# Guards against ignoring settings that change without a signal.
sleep 1.1
settings 5 > "$work/node.json"
await grep -q 'event=reloaded reason=file' "$work/log"
report $? "node: a changed settings file is reloaded"
settings '"soon"' > "$work/node.json"
await grep -q 'event=reload-failed' "$work/log" && kill -0 "$node"
report $? "node: an invalid settings file changes nothing"

# Guards against a process that does not stop by itself.
kill -TERM "$node"
await grep -q 'event=stopped' "$work/log" && await bash -c "! kill -0 $node"
report $? "node: it exits by itself after SIGTERM"
