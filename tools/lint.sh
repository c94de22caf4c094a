#!/usr/bin/env bash
# Checks the format of every source file and runs the linter over every translation unit.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files '*.cpp' '*.hpp' | xargs clang-format-16 --dry-run -Werror

cmake --preset lint >/dev/null
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 \
    clang-tidy-16 --quiet --warnings-as-errors='*' -p build/lint \
    --extra-arg=-DASIO_HAS_CO_AWAIT=1 --extra-arg=-DASIO_HAS_STD_COROUTINE=1 \
    2> >(grep -vE '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header' >&2)
echo "lint: clean"
