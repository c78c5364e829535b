#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -d target/deps ] && [ -d target/review ] || exit 2
PYTHONPATH="target/deps:target/review" exec python3 "$folder/case.py"
