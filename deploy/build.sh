#!/bin/sh
# Puts the service and the libraries that its process imports under target/deps.
# What is there already and up to date stays untouched, since processes may run from it.
set -eu
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
sources=packages/ebonylb/src/ebonylb
wanted=$(cat constraints.txt deploy/requirements.txt | cksum)
if [ "$(cat target/deps/.wanted 2>/dev/null || true)" != "$wanted" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --no-compile \
        --target target/deps -c constraints.txt -r deploy/requirements.txt
    python3 -m compileall -q target/deps
    echo "$wanted" > target/deps/.wanted
fi
version=$(find "$sources" -name '*.py' -print0 | sort -z | xargs -0 cat | cksum)
if [ "$(cat target/deps/.service 2>/dev/null || true)" != "$version" ]; then
    rm -rf target/new
    mkdir -p target/new
    cp -r "$sources" target/new/ebonylb
    find target/new -name __pycache__ -prune -exec rm -rf {} +
    rm -rf target/old
    [ ! -e target/deps/ebonylb ] || mv target/deps/ebonylb target/old
    mv target/new/ebonylb target/deps/ebonylb
    python3 -m compileall -q target/deps/ebonylb
    echo "$version" > target/deps/.service
fi
