#!/bin/sh
# Puts the stand-ins that the scripts start under target/review: the project's own site
# (store, replicas, entry VM processes) and the replicas of the review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/ebonylb_standins
cp packages/ebonylb_standins/src/ebonylb_standins/__init__.py target/review/ebonylb_standins/
cp -r packages/ebonylb_standins/src/ebonylb_standins/site target/review/ebonylb_standins/
cp review/standins/*.py target/review/
find target/review -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/review
