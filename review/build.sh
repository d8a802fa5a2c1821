#!/bin/sh
# Builds the stand-ins: they are Python with the standard library only, so
# that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3 4
