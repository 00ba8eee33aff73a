#!/bin/sh
# Builds what the scripts of the second review start beside the deploy file's build. Their stand-ins are Python
# files that use the standard library alone, so that only their syntax is checked and compiled here.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/world2.py review/cold2.py review/6 review/7 review/8 review/9 review/10
