#!/bin/sh
# Checks that the platform's names are used in platform/ only, and that
# platform/ has at most 2500 lines.
set -eu
cd "$(dirname "$0")/../.."
status=0
names='kv-(txn|range|watch|lease|keep|key)|max_staleness_ms|target_latency_ms'
names="$names|Duty-Holder|Fencing-Token|STEPDOWN|DEALLOC|bounded_staleness"
names="$names|read_your_writes|op/config|servers/|db_role|sync_replicas"
if git grep -nE "$names" -- src include daemon ctl ':!src/gen'
then
	echo "names of the platform stand outside of platform/"
	status=1
fi
lines=$(cat platform/*.c platform/*.h | wc -l)
echo "platform/ has $lines lines"
if [ "$lines" -gt 2500 ]
then
	echo "platform/ has more than 2500 lines"
	status=1
fi
exit "$status"
