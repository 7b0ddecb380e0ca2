#!/bin/sh
# Restores the platform's store from an older copy under a fleet; a later change
# must be in force in time. Usage: 74-store-restored.sh [BUILD [SEED...]]
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}
shift || :
for seed in ${*:-1 2}
do
	echo "seed $seed"
	python3 soak/restored.py "$build/kumquatbridged" --seed "$seed"
done
