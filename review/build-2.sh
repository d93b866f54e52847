#!/bin/sh
# Builds the stand-ins of the second review: plain Python on the standard library, compiled with the
# environment that the deploy file's build has made. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/common_2 $(for n in 6 7 8 9 10; do [ -d "review/$n" ] && echo "review/$n"; done)
