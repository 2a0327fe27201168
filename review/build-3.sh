#!/bin/sh
# Puts the stand-ins of the cases in review/11 to review/15 under target/review-3: those of
# the project that they use, and the small ones in review/standins-3. Needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/ebonylb_standins/src/ebonylb_standins target/review-3/
cp review/standins-3/*.py target/review-3/
find target/review-3 -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/review-3
