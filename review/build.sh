#!/usr/bin/env bash
# The stand-ins of the cases are Python (review/, and testsuite/support of the project): there is nothing to
# compile. This checks that they can be read, and that the gateway has been built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/peridot-gateway || { echo "run the build line of deploy/system.toml first"; exit 1; }
python3 - review/*.py review/[1-5]/*.py testsuite/support/*.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
CHECK
