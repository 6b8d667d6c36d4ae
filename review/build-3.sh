#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the gateway: their stand-ins are Python programs, whose
# sources are compiled here to find mistakes early.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
for file in review/harness_3.py review/1[1-5]/*.py testsuite/support/*.py; do
    [ -e "$file" ] || continue
    PYTHONPYCACHEPREFIX="$out" python3 -m py_compile "$file"
done
echo "review stand-ins: ok"
