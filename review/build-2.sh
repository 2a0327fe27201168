#!/bin/sh
# Puts the stand-ins and cases of the second review under target/review-2. Run it at the
# root of the repository after the build of deploy/system.toml. It adds no dependency.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
cp "$root"/review/standins-2/*.py "$root/target/review-2/"
python3 -m compileall -q "$root/target/review-2"
