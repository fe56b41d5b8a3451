#!/usr/bin/env bash
# Builds and runs all tests. Failures of tests listed in KNOWN-RED.txt are printed and do not count. The last line of
# the output is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh && scripts/build.sh || { echo "0 passed, 1 failed"; exit 1; }
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Unit tests: converts the JUnit report into "ok NAME" and "not ok NAME" lines.
: > "$work/results"
for program in citronsill_tests citronsill_cell_tests; do
  "$build/$program" --reporters=junit > "$work/unit.xml" 2>> "$work/unit.err"
  status=$?
  awk -v status="$status" -v program="$program" '
    /<testcase / { match($0, / name="[^"]*"/); name = substr($0, RSTART + 7, RLENGTH - 8); order[++n] = name }
    /<(failure|error)/ { failed[name] = 1; print > "/dev/stderr" }
    END {
      for (i = 1; i <= n; i++) print (order[i] in failed ? "not ok " : "ok ") order[i]
      if (status > 1 || n == 0) print "not ok " program " ended with status " status
    }' "$work/unit.xml" >> "$work/results"
done

# Multi-process tests: each script prints "ok NAME" or "not ok NAME" lines.
for script in tests/*.sh; do
  [ -e "$script" ] || continue
  BUILD=$build bash "$script" > "$work/script.out" 2> "$work/script.err"
  status=$?
  grep -E '^(ok|not ok) ' "$work/script.out" >> "$work/results"
  grep -v -E '^ok ' "$work/script.out"
  if [ $status -ne 0 ] && ! grep -q '^not ok ' "$work/script.out"; then
    echo "not ok $script ended with status $status" >> "$work/results"
    cat "$work/script.err"
  fi
done

passed=0
failed=0
while read -r line; do
  case $line in
    "ok "*) passed=$((passed + 1)) ;;
    *)
      name=${line#not ok }
      if [ -e KNOWN-RED.txt ] && grep -qF "test: $name |" KNOWN-RED.txt; then
        echo "known red: $name"
      else
        echo "FAILED: $name"
        failed=$((failed + 1))
      fi
      ;;
  esac
done < "$work/results"
[ $failed -eq 0 ] || tail -n 50 "$work/unit.err"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
