#!/usr/bin/env bash
# Installs the packages, builds, starts a small site on loopback, sends requests and prints the answers.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install_packages.sh
cmake --preset release > /dev/null
ninja -C build peridot-entry peridot-agent peridotctl standin-engine standin-appserver standin-platform
python3 testsuite/demo/demo.py --build build "$@"
