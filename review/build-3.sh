#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. They are
# Python programs which run with the libraries that the build of the deploy file
# has put under target/deps; nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/coltsfootarch ]; then
    echo "target/deps is missing: run sh deploy/build.sh first" >&2
    exit 1
fi
python3 -m compileall -q standins review/lib3
PYTHONPATH=target/deps python3 -c \
    "import review.lib3.stack, review.lib3.store, standins.runner"
