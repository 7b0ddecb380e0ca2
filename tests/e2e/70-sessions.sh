#!/bin/sh
# Runs the fault soak test of sessions. Usage: 70-sessions.sh [BUILD [SEED...]]
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}
shift || :
for seed in ${*:-1 2}
do
	echo "seed $seed"
	python3 soak/soak.py "$build/kumquatbridged" --seconds 15 \
		--seed "$seed"
done
