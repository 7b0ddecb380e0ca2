#!/bin/sh
# Partitions the primary from all other processes under load. Every request
# must get a response once its deadline has passed, even if a target had already
# received it.
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
