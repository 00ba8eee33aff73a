#!/bin/sh
# Builds the review's stand-ins. They are Python without dependencies, so this only compiles them.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review
