#!/bin/sh
# Installs what is needed, builds, and runs a fleet under load for a minute with
# a kill of its primary. Options go to fleet.sh.
set -eu
cd "$(dirname "$0")/.."
sh .ci/install
cmake -S . -B build >/dev/null
cmake --build build -j "$(nproc)" >/dev/null
exec sh examples/fleet.sh --build build --kill-primary "$@"
