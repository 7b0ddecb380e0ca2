#!/bin/sh
# Restarts the hosts of a fleet one by one under load. No request that reached
# a host may go without its answer.
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}
for seed in 1 2 3
do
	sh examples/fleet.sh --build "$build" --workload kalahari \
		--seconds 10 --rate 150 --seed $seed \
		--port-prefix "${KB_PORT_PREFIX:-17}" \
		--faults restart-hosts@2 --forbid-unanswered
done
