#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../../target/deps exec python3 case.py
