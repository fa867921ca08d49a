#!/usr/bin/env bash
# The stand-ins of the cases are Python programs that use the standard library only; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in common/*.py [0-9]*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
