#!/usr/bin/env bash
# Runs clang-tidy on all C++ source files, or on those given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}-lint
# clang cannot read the precompiled headers of g++.
cmake -S . -B "$build" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' | grep -v '\.pb\.')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2> /dev/null
