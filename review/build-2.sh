#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: compiles
# the project's own ones and those of the review. Runs after the build of the
# deploy file, and needs no network.
set -eu
cd "$(dirname "$0")/.."
for needed in target/deps/coltsfootarch target/deps/gevent; do
    if [ ! -d "$needed" ]; then
        echo "$needed is missing: run the build of the deploy file first" >&2
        exit 1
    fi
done
mkdir -p target/review-2
rm -rf target/review-2/standins target/review-2/review
cp -r standins target/review-2/standins
mkdir -p target/review-2/review
cp -r review/lib2 target/review-2/review/lib2
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
