#!/bin/sh
# Build the system as the deploy file does, and check that the stand-ins and scripts compile; they
# need only python3 and its standard library.
set -eu
cd "$(dirname "$0")/.."
sh platform/build.sh
python3 -B - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
