#!/bin/sh
# Explores the rules as built and each broken rule, and exits with 1 if one
# does not do what is expected: 0 holds in all states, 1 is violated, 2 holds
# up to the limit of states.
set -eu
cd "$(dirname "$0")"
failed=0
while read -r rule start writes limit expected
do
	status=0
	output=$(python3 ack_model.py "$rule" "$start" "$writes" "$limit") ||
		status=$?
	echo "$output" | tail -n 1
	if [ "$status" -ne "$expected" ]
	then
		echo "$rule, $start: expected exit $expected, got $status"
		echo "$output"
		failed=1
	fi
done <<END
early-probe new 1 1000000 1
minority new 1 1000000 1
second-choice new 1 1000000 1
bare-position lagging 1 1000000 1
count-only lagging 1 1000000 1
none new 1 1000000 0
none lagging 1 400000 2
END
exit $failed
