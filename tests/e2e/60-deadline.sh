#!/bin/sh
# Partitions the primary from all other processes under load. Every request
# must get a response by its deadline, even if a target already had it.
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}
for seed in 1 2 3
do
	sh examples/fleet.sh --build "$build" --workload sledza \
		--seconds 14 --rate 60 --seed $seed \
		--port-prefix "${KB_PORT_PREFIX:-17}" \
		--faults partition-primary@3 --forbid-unanswered
done
