#!/bin/sh
# Builds the stand-ins of the scripts: they are plain Python, so this compiles them only to check.
# The deploy file's build comes first; the stand-ins use its packages and no others.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/[1-5]/*.py tests/platform/standin_store.py \
    tests/platform/platform_standins.py; do
    [ ! -f "$file" ] || python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
PYTHONPATH=target/deps:tests/platform python3 -c "import aiohttp, standin_store"
echo "stand-ins are ready"
