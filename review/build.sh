#!/bin/sh
# Compiles the stand-ins that the cases start: review/play.py and testbed/standins. Needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review testbed/standins
