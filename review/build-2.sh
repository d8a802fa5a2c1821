#!/bin/sh
# Builds what the scripts in review/6 to review/10 start: their stand-ins are
# Python programs that use the standard library only, and are byte-compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
