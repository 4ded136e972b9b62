#!/bin/sh
# Builds what the cases 6 to 10 start: their stand-ins are Python of this folder on the standard library, run by the
# interpreter that the build of the deploy file has made. Needs no network and adds no package.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of the deploy file first" >&2; exit 2; }
for folder in harness-2 6 7 8 9 10; do
    test ! -d "review/$folder" || .venv/bin/python -m compileall -q "review/$folder" || exit 1
done
