#!/usr/bin/env bash
# Removes one guard at a time in a copy of the sources and reports which seed of the random run detects it.
# Each testsuite/mutations/*.patch removes one guard; its first line names the guard. SEEDS is the number of seeds
# tried for each; a run that does not end within its time-out counts as a detection.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-200}
jobs=${JOBS:-3}
copy=$PWD/build-mutations
# tar -m sets new modification times, since objects of an earlier run may be newer than a changed header.
rm -rf "$copy/tree"
mkdir -p "$copy/tree"
git ls-files src CMakeLists.txt CMakePresets.json | tar -c -T - | tar -x -m -C "$copy/tree"
cmake -S "$copy/tree" -B "$copy/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null

missed=0
echo "| removed guard | found by | first sign |"
echo "|---|---|---|"
for patch in testsuite/mutations/*.patch; do
  guard=$(head -1 "$patch" | sed 's/^# //')
  patch -s -p1 -d "$copy/tree" < "$patch"
  ninja -C "$copy/build" -j "$jobs" core_routing_test core_hosting_test > "$copy/build.log" 2>&1 || { cat "$copy/build.log"; exit 1; }
  found="nothing"
  sign="-"
  for ((seed = 1; seed <= seeds; seed++)); do
    if ! PERIDOT_RANDOM_RUN=$seed:1 timeout 20 "$copy/build/src/core_routing_test" --run_test=random_run/all_faults* \
      --color_output=no > "$copy/run.log" 2>&1; then
      found="random run, seed $seed"
      break
    fi
  done
  if [ "$found" = nothing ] && ! timeout 120 "$copy/build/src/core_routing_test" --color_output=no > "$copy/run.log" 2>&1; then
    found="core_routing_test"
  fi
  if [ "$found" = nothing ] && ! timeout 120 "$copy/build/src/core_hosting_test" --color_output=no > "$copy/run.log" 2>&1; then
    found="core_hosting_test"
  fi
  if [ "$found" = nothing ]; then
    missed=$((missed + 1))
  else
    sign=$(grep -aohE 'seed [0-9]+: .*|detail=".*"|check .* has failed.*' "$copy/run.log" | head -1 | tr '|' '/' | cut -c1-140) || sign="no end"
  fi
  echo "| $guard | $found | $sign |"
  patch -s -R -p1 -d "$copy/tree" < "$patch"
done
echo "removed guards that no test detected: $missed"
[ "$missed" -eq 0 ]
