#!/usr/bin/env bash
# Removes the guards of one part, one at a time in a scratch copy, and expects the part's randomised test to fail.
# Usage: tools/mutate_part.sh PART TEST PREFIX RUNS [NAME...]
#   PART: folder under testsuite/mutations; TEST: test program; PREFIX: prefix of its SEED and RUNS variables;
#   RUNS: number of seeds tried for each guard, from 1 on; NAME: patches to apply (default: all).
set -euo pipefail
cd "$(dirname "$0")/.."
part=$1 program=$2 prefix=$3 runs=$4
shift 4
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for patch in "testsuite/mutations/$part"/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi
scratch=build-mutations/$part
mkdir -p "$scratch"
# tar -m sets new modification times, since objects of an earlier run may be newer than a changed header.
git ls-files -co --exclude-standard CMakeLists.txt CMakePresets.json src "testsuite/mutations/$part" \
  | tar -cf - -T - | tar -xmf - -C "$scratch"
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S "$scratch" --preset release -B "$scratch/build" > /dev/null
missed=0
for name in "${names[@]}"; do
  patch=testsuite/mutations/$part/$name.patch
  patch -s -p1 -d "$scratch" < "$patch"
  ninja -C "$scratch/build" -j "${JOBS:-$(nproc)}" "$program" > /dev/null
  log=$scratch/$name.log
  if env "${prefix}SEED=1" "${prefix}RUNS=$runs" "$scratch/build/src/$program" --run_test=random_run > "$log" 2>&1; then
    echo "$name: NOT FOUND in $runs seeds"
    missed=1
  else
    found=$(grep -aoE 'seed [0-9]+: .*|invariant=[a-z_]+|whatever_fails": .*' "$log" | head -1 \
      | sed 's/.*fails": //; s/\x1b.*//' || true)
    seed=$(grep -aoE 'seed [0-9]+' "$log" | tail -1 || true)
    echo "$name: found: $found (last seed named: $seed)"
  fi
  patch -s -R -p1 -d "$scratch" < "$patch"
done
exit $missed
