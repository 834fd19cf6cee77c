#!/bin/sh
# Builds what the scripts of the second review start: the run-time packages of the deploy file.
# The stand-ins are in review/lib-2 and need nothing but Python and these packages.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
