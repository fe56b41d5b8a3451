#!/usr/bin/env bash
# Configures and builds all targets in the folder BUILD (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
# ccache caches compilations with precompiled headers only with these settings.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_NOHASHDIR=1
# Makes cached paths relative to the root of the work tree, so that several work trees share the cache.
export CCACHE_BASEDIR=$PWD
cmake -S . -B "$build" -G Ninja > "/dev/null"
ninja -C "$build" --quiet
