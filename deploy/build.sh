#!/bin/sh
# Puts the service and the libraries that its process imports under target/deps.
set -eu
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
wanted=$(cat constraints.txt deploy/requirements.txt | cksum)
if [ "$(cat target/deps/.wanted 2>/dev/null || true)" != "$wanted" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --no-compile \
        --target target/deps -c constraints.txt -r deploy/requirements.txt
    python3 -m compileall -q target/deps
    echo "$wanted" > target/deps/.wanted
fi
rm -rf target/deps/ebonylb
cp -r packages/ebonylb/src/ebonylb target/deps/ebonylb
find target/deps/ebonylb -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/deps/ebonylb
