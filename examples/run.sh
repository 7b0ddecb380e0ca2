#!/bin/sh
# Installs the dependencies, builds, and runs a fleet under load for a minute.
# Its primary is killed on the way. Options are passed to fleet.sh.
set -eu
cd "$(dirname "$0")/.."
sh .ci/install
cmake -S . -B build >/dev/null
cmake --build build -j "$(nproc)" >/dev/null
exec sh examples/fleet.sh --build build --kill-primary "$@"
