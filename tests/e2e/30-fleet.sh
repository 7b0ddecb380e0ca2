#!/bin/sh
# Runs a fleet under load while its primary, then a host, is killed and the
# hosts are restarted. Only the promises that the load tool checks decide.
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}
for workload in kalahari sledza
do
	sh examples/fleet.sh --build "$build" --workload $workload \
		--seconds 20 --rate 60 --port-prefix "${KB_PORT_PREFIX:-17}" \
		--faults kill-primary@5,kill-host@9,restart-hosts@14
done
