#!/bin/sh
# Provokes each failed request of docs/OPERATIONS.md before stand-ins and finds
# its cause from its id.
set -eu
cd "$(dirname "$0")/../.."
python3 soak/explain.py "${1:-build}/kumquatbridged"
