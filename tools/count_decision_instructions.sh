#!/usr/bin/env bash
# Counts the instructions of one routing decision, by the number of engines in the router's view. The count is the
# difference between callgrind runs of 100 and 200 requests, which excludes the start-up. Needs valgrind.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
count() {
  valgrind --tool=callgrind --callgrind-out-file=/dev/null "$build/src/bench/slopes/bench-slopes" \
    --decisions-engines "$1" --decisions "$2" 2>&1 | awk '/Collected/ { print $4 }'
}
echo "engines instructions_per_request"
for engines in 10 32 100 1000 3800; do
  few=$(count "$engines" 100)
  many=$(count "$engines" 200)
  echo "$engines $(((many - few) / 100))"
done
