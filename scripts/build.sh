#!/usr/bin/env bash
# Configures and builds everything into the folder BUILD (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
# Precompiled headers need these settings to be found in the compiler cache.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_NOHASHDIR=1
# Work trees share the cache, because paths are made relative to their root.
export CCACHE_BASEDIR=$PWD
cmake -S . -B "$build" -G Ninja > "/dev/null"
ninja -C "$build" --quiet
