#!/bin/sh
# Runs a fleet under both workloads while targets and hosts fail and while
# hosts are restarted by plan. Only the promises that the load tool checks
# decide.
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}

run()
{
	workload=$1
	shift
	sh examples/fleet.sh --build "$build" --workload "$workload" \
		--port-prefix "${KB_PORT_PREFIX:-17}" "$@"
}

for workload in kalahari sledza
do
	run $workload --seconds 20 --rate 60 \
		--faults kill-primary@5,kill-host@9,restart-hosts@14
done
run sledza --seconds 14 --rate 60 --faults partition-primary@3
