#!/bin/sh
# Builds the stand-ins of the cases: they are Python files of the standard library, so compiling them is all.
# Run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q common [123]
