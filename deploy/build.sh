#!/bin/sh
# Installs the pinned dependencies and the package under target/deps.
set -eu
if [ ! target/deps/.installed -nt requirements.lock ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps -r requirements.lock
    touch target/deps/.installed
fi
rm -rf target/deps/coltsfootarch
cp -r src/coltsfootarch target/deps/coltsfootarch
python3 -m compileall -q target/deps/coltsfootarch
