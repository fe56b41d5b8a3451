#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, which hold the stand-ins, into target/review-2. Needs g++ and the headers of
# Boost, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -o "target/review-2/$number" "$source" -pthread
done
