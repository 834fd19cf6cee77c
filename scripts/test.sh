#!/usr/bin/env bash
# Formatting, lint, types, doctests, tests and benchmark bounds.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/bootstrap.sh
export PATH="$PWD/.venv/bin:$PATH"
ruff format --check src tests benchmarks
ruff check src tests benchmarks
mypy
# Tests named in KNOWN-RED.txt are passed over and printed.
deselect=()
if [ -e KNOWN-RED.txt ]; then
    echo "Known red:"
    grep -v '^\s*\(#\|$\)' KNOWN-RED.txt || true
    while IFS=, read -r test _; do
        deselect+=("--deselect=$test")
    done < <(grep -v '^\s*\(#\|$\)' KNOWN-RED.txt)
fi
pytest "${deselect[@]}" "$@"
