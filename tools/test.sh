#!/usr/bin/env bash
# Installs the packages, builds, and runs all checks and tests. Called by `.ci/run`.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install_packages.sh
jobs=$(nproc)
# Cache entries do not depend on the path of the checkout.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

step() { echo; echo "== $* =="; }

step "style and layering"
./tools/check_style.sh

step "build"
cmake --preset release > /dev/null
ninja -C build

step "linter"
./tools/check_tidy.sh

step "unit tests"
ctest --test-dir build --output-on-failure -j "$jobs"

step "address and undefined behaviour sanitizers"
cmake --preset asan > /dev/null
ninja -C build-asan
ctest --test-dir build-asan --output-on-failure -j "$jobs"

step "thread sanitizer"
cmake --preset tsan > /dev/null
ninja -C build-tsan
ctest --test-dir build-tsan --output-on-failure -j "$jobs"

if [ -f src/fuzz/CMakeLists.txt ]; then
  step "fuzzers, bounded"
  ./tools/fuzz.sh --ci
fi

step "end-to-end tests with real processes"
python3 testsuite/run.py --build build

step "known red"
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; else echo "none"; fi
