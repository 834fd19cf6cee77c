#!/usr/bin/env bash
# Makes .venv with the pinned packages, once for each state of requirements.lock.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/installed-$(sha256sum requirements.lock pyproject.toml | sha256sum | cut -c1-16)
if [ ! -e "$stamp" ]; then
    python3 -m venv .venv
    .venv/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
    .venv/bin/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
    touch "$stamp"
fi
