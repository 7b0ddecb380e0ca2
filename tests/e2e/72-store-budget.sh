#!/bin/sh
# Starts a fleet of many hosts and holds it to its budget of calls to the
# platform's store. Usage: 72-store-budget.sh [BUILD]
set -eu
cd "$(dirname "$0")/../.."
python3 soak/soak.py "${1:-build}/kumquatbridged" --seconds 15 --hosts 24 \
	--faults none --store-budget 4
