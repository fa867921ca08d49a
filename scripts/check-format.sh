#!/usr/bin/env bash
# Fails if a C++ source file of the repository is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
