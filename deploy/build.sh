#!/bin/sh
# Installs the dependencies into target/deps and byte-compiles all modules.
# The stamp file is a copy of the requirements that were installed. It is
# written after the installation, so that a changed line or an interrupted
# installation leads to a new installation.
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
