#!/bin/sh
# The stand-ins need the standard library only; this compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
