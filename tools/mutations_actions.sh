#!/usr/bin/env bash
# Mutation test of the part `actions`. Usage: tools/mutations_actions.sh [RUNS] [NAME...]
set -euo pipefail
runs=${1:-4000}
shift || true
exec "$(dirname "$0")/mutate_part.sh" actions core_actions_test PERIDOT_ACTION_ "$runs" "$@"
