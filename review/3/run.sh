#!/usr/bin/env bash
# A zone with the scheduler is cut off, then the next scheduler is restarted. TROUBLE=0: no cut.
exec "$(dirname "$0")/../run_case.sh" partition "$(dirname "$0")"
