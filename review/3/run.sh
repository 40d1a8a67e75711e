#!/bin/bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 the same is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ -x .venv/bin/python ]; then
    python=.venv/bin/python
elif [ -d target/deps ]; then
    python=python3
else
    echo "build first: make .venv/.ready, or the build line of deploy/system.toml"
    exit 2
fi
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 timeout --kill-after=3 115 \
    "$python" review/3/case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
