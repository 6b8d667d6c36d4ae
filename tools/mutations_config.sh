#!/usr/bin/env bash
# Mutation test of the part `config`. Usage: tools/mutations_config.sh [RUNS] [NAME...]
set -euo pipefail
runs=${1:-40}
shift || true
exec "$(dirname "$0")/mutate_part.sh" config core_config_test PERIDOT_ "$runs" "$@"
