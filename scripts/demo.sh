#!/usr/bin/env bash
# Serves both example deployments on this machine and prints what was served.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/bootstrap.sh
exec .venv/bin/corkcrank-load demo examples/association.toml examples/companhia.toml "$@"
