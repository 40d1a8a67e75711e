#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: Python that needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/second/stage.py
