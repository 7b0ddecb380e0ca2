#!/bin/sh
# Runs a fleet under both workloads while targets and hosts fail and while
# hosts are restarted one by one with a planned stop. Fails only if the load
# tool finds a violated guarantee or cannot complete its checks.
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
