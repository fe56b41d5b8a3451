#!/usr/bin/env bash
# A scheduled job whose occurrences overlap. TROUBLE=0: its tasks end before the next occurrence.
exec "$(dirname "$0")/../run_case.sh" row "$(dirname "$0")"
