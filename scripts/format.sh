#!/usr/bin/env bash
# Formats all C++ files with clang-format. With --check, changes nothing and fails when a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
