#!/bin/sh
# Checks that the stand-ins compile; they need only Python's standard library.
set -e
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
P
