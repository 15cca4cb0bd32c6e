#!/bin/sh
# Build the stand-ins that the scripts of review/11 and later start: Python sources of this folder.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile fleet_3.py
for case in 11 12 13 14 15; do
    if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
