#!/bin/sh
# Builds the daemon with one deliberate defect at a time and requires that the
# load tool detects it. Guards against checks that never fail.
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}

# defect SWITCH TEXT OPTION...: the report must contain TEXT
defect()
{
	switch=$1
	line=$2
	shift 2
	cmake -S . -B "$build-defect" -DKB_BREAK_CONFIRM=OFF \
		-DKB_BREAK_TOKEN=OFF "-D$switch=ON" >/dev/null
	cmake --build "$build-defect" -j "$(nproc)" --target kumquatbridged \
		kumquatload standin_target standin_store >/dev/null
	if report=$(sh examples/fleet.sh --build "$build-defect" \
		--workload sledza --seconds 12 --rate 80 \
		--port-prefix "${KB_PORT_PREFIX:-17}" \
		--faults kill-primary@6 "$@" 2>&1)
	then
		echo "$switch was not found"
		exit 1
	fi
	echo "$report" | grep -q "$line" || {
		echo "$report"
		exit 1
	}
	echo "$switch: found ($line)"
}

defect KB_BREAK_CONFIRM "was acknowledged and is missing" --receive-lag 300
defect KB_BREAK_TOKEN "missing from a read of its own session" --apply-lag 400
