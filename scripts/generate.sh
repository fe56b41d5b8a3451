#!/usr/bin/env bash
# Generates schema/citronsill.pb.{h,cc} from the schema. With --check, fails when the committed files differ.
set -euo pipefail
cd "$(dirname "$0")/.."
out=schema
if [ "${1:-}" = "--check" ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc --proto_path=schema --cpp_out="$out" schema/citronsill.proto
if [ "${1:-}" = "--check" ]; then
  diff -q "$out/citronsill.pb.h" schema/citronsill.pb.h && diff -q "$out/citronsill.pb.cc" schema/citronsill.pb.cc
fi
