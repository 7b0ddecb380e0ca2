#!/bin/sh
# Checks the tables of docs/CAPACITY.md against the measured slopes.
set -eu
cd "$(dirname "$0")/../.."
python3 bench/capacity.py --check
