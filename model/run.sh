#!/bin/sh
# Explores the rules as built and each broken rule, and exits with 1 if one
# does not do what is expected: 0 holds in all states, 1 is violated, 2 holds
# up to the limit of states.
set -eu
cd "$(dirname "$0")"
failed=0
while read -r expected model arguments
do
	status=0
	# The arguments are words without blanks.
	output=$(python3 "${model}_model.py" $arguments) || status=$?
	echo "$output" | tail -n 1
	if [ "$status" -ne "$expected" ]
	then
		echo "$model $arguments: expected exit $expected, got $status"
		echo "$output"
		failed=1
	fi
done <<END
1 ack early-probe new 1 1000000
1 ack minority new 1 1000000
1 ack second-choice new 1 1000000
1 ack bare-position lagging 1 1000000
1 ack count-only lagging 1 1000000
0 ack none new 1 1000000
2 ack none lagging 1 400000
1 hold no-wait 1 1000000
1 hold one-grant 1 1000000
1 hold claims-quiet 1 1000000
1 hold grants-old 1 1000000
1 hold unread 1 1000000
2 hold none 1 300000
2 hold none 2 300000
END
exit $failed
