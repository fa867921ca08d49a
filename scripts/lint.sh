#!/usr/bin/env bash
# Runs clang-tidy. Usage: lint.sh BUILD_DIR [FILE...]; without files, on all sources.
# A source file is skipped if neither it, nor any header, nor .clang-tidy changed since it last passed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '\.pb\.')
fi
stamps="$build/lint-stamps"
mkdir -p "$stamps"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
export build stamps headers
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c '
  file={}
  stamp="$stamps/$(sha256sum "$file" | cut -c1-16)-$headers"
  [ -e "$stamp" ] && exit 0
  if out=$(clang-tidy --quiet -p "$build" "$file" 2>&1); then
    touch "$stamp"
  else
    printf "%s\n" "$out" | grep -v "warnings generated" ; exit 1
  fi'
echo "lint: clean (${#files[@]} files)"
