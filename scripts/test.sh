#!/usr/bin/env bash
# Builds and runs all tests. Failures of tests listed in KNOWN-RED.txt are printed and do not count. The last line of
# the output is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh && scripts/build.sh || { echo "0 passed, 1 failed"; exit 1; }
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# count_results FILE STATUS NAME: adds the "ok" and "not ok" lines of a program to the results. A program that fails
# without naming a test, or that names none, counts as a failed test.
count_results() {
  grep -E '^(ok|not ok) ' "$1" >> "$work/results"
  if ! grep -qE '^(ok|not ok) ' "$1" || { [ "$2" -ne 0 ] && ! grep -q '^not ok ' "$1"; } || [ "$2" -gt 1 ]; then
    echo "not ok $3 ended with status $2" >> "$work/results"
  fi
}

# Unit tests: see tests/line_reporter.h.
for program in citronsill_tests citronsill_cell_tests; do
  "$build/$program" --reporters=lines > "$work/unit.out" 2>> "$work/unit.err"
  count_results "$work/unit.out" $? "$program"
  grep -E '^(#|not ok) ' "$work/unit.out"
done

# Multi-process tests: each script prints "ok NAME" or "not ok NAME" lines.
for script in tests/*.sh; do
  [ -e "$script" ] || continue
  BUILD=$build bash "$script" > "$work/script.out" 2> "$work/script.err"
  status=$?
  count_results "$work/script.out" $status "$script"
  grep -v -E '^ok ' "$work/script.out"
  grep -qF "not ok $script " "$work/results" && cat "$work/script.err"
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
