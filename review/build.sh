#!/bin/sh
# Check that the stand-ins of the scripts compile; they need only python3 and its standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
