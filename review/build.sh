#!/usr/bin/env bash
# Builds the stand-ins of the review cases into review/bin, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin/objects
objects=()
compiles=()
for source in standin/*.cc; do
  object=bin/objects/$(basename "$source" .cc).o
  objects+=("$object")
  g++ -std=c++20 -O1 -c "$source" -o "$object" &
  compiles+=($!)
done
for compile in "${compiles[@]}"; do wait "$compile"; done
g++ "${objects[@]}" -o bin/cell_standin -lpthread
