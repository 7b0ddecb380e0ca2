#!/bin/sh
# Causes each request failure of docs/OPERATIONS.md with stand-ins and checks
# that the request id leads to the cause.
set -eu
cd "$(dirname "$0")/../.."
python3 soak/explain.py "${1:-build}/kumquatbridged"
