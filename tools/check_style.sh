#!/usr/bin/env bash
# Checks formatting, head comments and the layering of the core. With --fix it only reformats the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '^src/generated/' | while read -r f; do [ -f "$f" ] && echo "$f"; done)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
status=0
clang-format --dry-run --Werror "${files[@]}" || status=1
for file in "${files[@]}"; do
  head -1 "$file" | grep -q '^// ' || { echo "$file: line 1 is not a head comment"; status=1; }
done
./tools/check_coroutines.py "${files[@]}" || status=1
core=(src/include/peridotgrade/core src/libperidotgrade/core)
if grep -rnE '#include *<(boost/(asio|beast)|thrift|log4cplus)|(steady|system)_clock::now|random_device|<(thread|mutex)>' "${core[@]}"; then
  echo "the core must not do I/O, lock, or read clocks and random devices"
  status=1
fi
if grep -rnE '#include *"peridotgrade/(net|wire|services|gateway|ops)/' "${core[@]}"; then
  echo "the core must not include outer layers"
  status=1
fi
exit $status
