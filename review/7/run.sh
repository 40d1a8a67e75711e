#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/second exec python3 review/7/case.py
