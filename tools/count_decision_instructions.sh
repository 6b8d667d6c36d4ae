#!/usr/bin/env bash
# Instructions of one routing decision, by the number of engines in the router's view: the difference between runs of
# 100 and 200 requests under callgrind, so that start-up is not in it. Needs valgrind.
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
