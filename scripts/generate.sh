#!/usr/bin/env bash
# Generates schema/*.pb.{h,cc} from schema/*.proto. With --check, changes nothing and fails when the committed files
# are out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
out=.
if [ "${1:-}" = "--check" ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc --proto_path=. --cpp_out="$out" schema/*.proto
if [ "${1:-}" = "--check" ]; then
  for file in "$out"/schema/*; do
    diff -q "$file" "schema/${file##*/}"
  done
fi
