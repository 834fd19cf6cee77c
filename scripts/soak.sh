#!/usr/bin/env bash
# Plays fault soaks of real gateway processes, e.g. scripts/soak.sh --seed 1 --minutes 5
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/bootstrap.sh
export PYTHONPATH=tests:tests/platform
exec .venv/bin/python -m soak "$@"
