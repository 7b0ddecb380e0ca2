#!/bin/sh
# Restarts the hosts of a fleet one by one under load. Every request that was
# sent to a host must get a response.
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
