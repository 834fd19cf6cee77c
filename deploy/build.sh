#!/bin/sh
# Puts the pinned run-time packages and the sources under target/deps; fast if unchanged.
set -eu
stamp="target/deps/installed-$(cksum < deploy/requirements.lock | cut -d' ' -f1)"
if [ ! -e "$stamp" ]; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target target/deps -r deploy/requirements.lock
    touch "$stamp"
fi
ln -sfn ../../src/corkcrank target/deps/corkcrank
