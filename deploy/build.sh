#!/bin/sh
# Puts the libraries into target/deps and compiles all modules. The stamp
# holds the requirements that are installed, so that a change of any line,
# or an installation that broke off, is installed anew.
set -eu
cd "$(dirname "$0")/.."
stamp=target/requirements.installed
if ! cmp -s requirements.txt "$stamp"; then
    rm -rf target/deps "$stamp"
    python3 -m pip install -q --target target/deps -r requirements.txt
    mkdir -p target
    cp requirements.txt "$stamp"
fi
python3 -m compileall -q target/deps src platform
