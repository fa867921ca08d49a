#!/usr/bin/env bash
# Fails if any source file of the repository is not formatted as .clang-format asks.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
