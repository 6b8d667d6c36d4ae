#!/usr/bin/env bash
# Regenerates the committed Thrift code from src/thrift/peridot.thrift.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton,moveable_types -out src/generated/thrift src/thrift/peridot.thrift
