#!/bin/sh
# Explores the rules as implemented and each broken rule, and exits with 1 if a
# model's exit status differs from the expected one: 0 the invariants hold in all
# states, 1 one is violated, 2 they hold up to the limit of states.
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
1 lease no-wait 1 1000000
1 lease one-grant 1 1000000
1 lease claims-quiet 1 1000000
1 lease grants-old 1 1000000
1 lease unread 1 1000000
2 lease none 1 300000
2 lease none 2 300000
END
exit $failed
