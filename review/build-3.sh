#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs that use the standard library only; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [*pathlib.Path("common-3").glob("*.py"), *(pathlib.Path(str(n)) / "case.py" for n in range(11, 16))]:
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"), str(path))
P
