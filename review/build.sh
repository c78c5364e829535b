#!/bin/sh
# Builds the stand-ins that the scripts of the review start: the project's own
# ones and those of the review, under target/review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r standins target/review/standins
cp -r review/lib target/review/reviewlib
PYTHONPATH=target/deps python3 -m compileall -q target/review
