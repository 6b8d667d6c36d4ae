#!/usr/bin/env bash
# Builds the fuzzers and runs them on the committed corpus. With --ci each does a fixed number of runs from seed 1;
# otherwise each runs for SECONDS_EACH seconds (default 600). New inputs are written to build-fuzz/found.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset fuzz > /dev/null
targets=()
for source in src/fuzz/*_fuzz.cpp; do targets+=("$(basename "$source" .cpp)"); done
ninja -C build-fuzz ${JOBS:+-j "$JOBS"} "${targets[@]}"
for target in "${targets[@]}"; do
  corpus=src/fuzz/corpus/${target%_fuzz}
  found=build-fuzz/found/$target
  mkdir -p "$found"
  if [ "${1:-}" = --ci ]; then
    rm -rf "$found"
    mkdir -p "$found"
    arguments=(-runs=20000 -seed=1 -max_len=4096 -timeout=10 -artifact_prefix="$found/" "$found" "$corpus")
    log=$found.log
    if ! "build-fuzz/src/fuzz/$target" "${arguments[@]}" > "$log" 2>&1; then
      cat "$log"
      exit 1
    fi
    echo "$target: $(tail -1 "$log")"
  else
    "build-fuzz/src/fuzz/$target" -max_total_time="${SECONDS_EACH:-600}" -max_len=4096 -timeout=10 -artifact_prefix="$found/" "$found" "$corpus"
  fi
done
