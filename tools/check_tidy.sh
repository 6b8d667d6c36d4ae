#!/usr/bin/env bash
# Runs clang-tidy on every source file, or with --changed only on those that differ from main.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
if [ "${1:-}" = --changed ]; then
  mapfile -t files < <({ git diff --name-only --diff-filter=d "$(git merge-base main HEAD)" -- 'src/*.cpp' 'platform/*.cpp'; git ls-files -o --exclude-standard 'src/*.cpp' 'platform/*.cpp'; } | grep -v generated | sort -u)
else
  mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -vE '^src/(generated|fuzz)/')
fi
[ ${#files[@]} -eq 0 ] && exit 0
printf '%s\0' "${files[@]}" | xargs -0 -n 4 -P "${JOBS:-$(nproc)}" clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -vE 'warnings? generated|^$' >&2)
