#!/usr/bin/env bash
# A job whose steps name all earlier steps. TROUBLE=0: each step names only the one before it.
exec "$(dirname "$0")/../run_case.sh" paths "$(dirname "$0")"
