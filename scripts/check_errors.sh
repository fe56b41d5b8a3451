#!/usr/bin/env bash
# Fails when the result codes of the schema differ in name or number from the table in docs/errors.md.
set -euo pipefail
cd "$(dirname "$0")/.."
schema=$(sed -n 's/^ *CODE_\([A-Z_]*\) = \([0-9]*\);.*/\2 \1/p' schema/codes.proto | sort -n)
table=$(sed -n 's/^| \([0-9]*\) | `\([A-Z_]*\)` |.*/\1 \2/p' docs/errors.md | sort -n)
diff <(echo "$schema") <(echo "$table")
