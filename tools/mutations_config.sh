#!/usr/bin/env bash
# Takes guards of the configuration's part out, one at a time and on a scratch copy, and expects the randomised run to notice.
# Usage: tools/mutations_config.sh [RUNS] [NAME...]   RUNS: seeds tried for each, from 1 on.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-40}
shift || true
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for patch in testsuite/mutations/config/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi
scratch=build-mutations/config
mkdir -p "$scratch"
git ls-files -co --exclude-standard CMakeLists.txt CMakePresets.json src testsuite/mutations/config | tar -cf - -T - | tar -xf - -C "$scratch"
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S "$scratch" --preset release -B "$scratch/build" > /dev/null
test=$scratch/build/src/core_config_test
missed=0
for name in "${names[@]}"; do
  patch=testsuite/mutations/config/$name.patch
  patch -s -p1 -d "$scratch" < "$patch"
  ninja -C "$scratch/build" -j "${JOBS:-$(nproc)}" core_config_test > /dev/null
  log=$scratch/$name.log
  if PERIDOT_SEED=1 PERIDOT_RUNS=$runs "$test" --run_test=random_run > "$log" 2>&1; then
    echo "$name: NOT FOUND in $runs seeds"
    missed=1
  else
    found=$(grep -aoE 'invariant=[a-z_]+|whatever_fails": .*' "$log" | head -1 | sed 's/.*fails": //; s/\x1b.*//' || true)
    seed=$(grep -aoE 'seed [0-9]+' "$log" | tail -1 || true)
    echo "$name: found: $found ($seed)"
  fi
  patch -s -R -p1 -d "$scratch" < "$patch"
done
exit $missed
