#!/usr/bin/env bash
# Tests the operators' commands of the command line against a cell of real processes.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
export BASE_PORT=${BASE_PORT:-26000}
trap 'scripts/cell.sh stop "$work"; rm -rf "$work"' EXIT
scripts/cell.sh start "$work" horseshoe 3 6
servers=$(paste -sd, "$work/api")
first=$(head -1 "$work/api")
third=$(sed -n 3p "$work/api")
failed=0

# ok NAME COMMAND...: retries the command until it succeeds, for at most 30 s (150 tries, 0.2 s apart).
ok() {
  local name=$1
  shift
  for _ in $(seq 150); do
    if "$@" > "$work/out" 2>&1; then
      echo "ok operators: $name"
      return
    fi
    sleep 0.2
  done
  echo "not ok operators: $name"
  cat "$work/out" >&2
  failed=1
}

# exits CODE COMMAND...: succeeds if the command ends with this exit code.
exits() {
  local expected=$1
  shift
  "$@"
  local status=$?
  [ $status -eq "$expected" ] || { echo "exit code $status instead of $expected"; return 1; }
}

cli() { "$build/citronsill" "$@"; }
limit() { echo "{\"schema_version\":1,\"kind\":\"limit\",\"name\":\"north\",\"limit\":{\"quota\":{\"processors\":$1}}}" > "$work/limit.json"; }
report_has() { cli report --server "$first" | tee /dev/stderr | grep -q "$1"; }
# in_force REVISION COUNT: succeeds if this number of instances report the revision.
in_force() { [ "$(cli get --server "$first" | grep -c "^instance .* revision $1 since")" -eq "$2" ]; }
fault() { curl -sf -o /dev/null -X POST "http://$(cat "$work/platform")/fault/$1"; }
stopped() { ! kill -0 "$1" 2> /dev/null; }

# Guards against a command line that gives up when the first server is unreachable although another one works.
ok "submit at the second server when the first is down" \
  exits 0 cli submit --server "127.0.0.1:1,$servers" --class quick-quote --team north
ok "report from all instances" report_has "from 3/3"
# Guards against a change of the records that is lost, applied twice, or reverted by a restart or an outage.
limit 10
ok "apply" exits 0 cli apply "$work/limit.json" --server "$first" --author anna --based-on 0
ok "the change is in force everywhere" in_force 1 3
limit 20
ok "a change based on an older revision is a conflict" \
  exits 6 cli apply "$work/limit.json" --server "$third" --author ben --based-on 0
fault down
ok "the table is reported as down" report_has "table up on 0/3"
ok "apply is refused while the table is down" \
  exits 3 cli apply "$work/limit.json" --server "$third" --author ben --based-on 1
kill -KILL "$(cat "$work/horseshoe-1.pid")"
ok "a silent instance is unknown" report_has "unknown 1: horseshoe-1"
"$build/citronsilld" --settings "$work/horseshoe-1.json" > "$work/horseshoe-1.log" 2>&1 &
echo $! > "$work/horseshoe-1.pid"
ok "a new instance gets the records from its peers" in_force 1 3
fault none
ok "the table is reported as up" report_has "table up on 3/3"
# Guards against a drained instance whose process does not exit.
pid=$(cat "$work/horseshoe-2.pid")
ok "drain" exits 0 cli drain --server "$third"
ok "a drained instance stops" stopped "$pid"
ok "a drained instance is not missed" report_has "from 2/2"
exit $failed
