#!/bin/sh
# Starts a fleet of three hosts, a database group of three stand-in targets and
# a stand-in for the platform's store on loopback. Runs a load, injects faults,
# prints the report and stops all processes. The exit status is that of
# kumquatload.
set -eu

usage()
{
	cat <<END
usage: $0 [option...]
  --build DIR        build directory (build)
  --workload NAME    kalahari or sledza (sledza)
  --seconds N        duration of the load (60)
  --rate N           arrivals per second (100)
  --sessions N       sessions of the load tool (64)
  --seed N           seed of the load tool (1)
  --json FILE        also write the report as JSON
  --port-prefix N    use ports N100 to N799 (8)
  --receive-lag MS   delay before a replica receives an entry (20)
  --apply-lag MS     delay before a replica applies a received entry (30)
  --statement-time MS  service time of a statement (1)
  --logs DIR         keep settings and logs in DIR
  --kill-primary     kill the primary after a third of the duration
  --forbid-unanswered   a request without a response breaks a promise, too
  --faults LIST      faults to inject, as NAME@SECOND,... in order of time:
                     kill-primary, stall-primary, partition-primary (both
                     end after 8 s), kill-host (restarted after 3 s) and
                     restart-hosts (rolling restart)
END
	exit 2
}

build=build workload=sledza seconds=60 rate=100 sessions=64 seed=1 json=
prefix=8 receive_lag=20 apply_lag=30 statement_time=1 logs= faults= kill_primary=
forbid=
while [ $# -gt 0 ]
do
	case $1 in
	--kill-primary) kill_primary=1; shift; continue ;;
	--forbid-unanswered) forbid=$1; shift; continue ;;
	esac
	[ $# -ge 2 ] || usage
	case $1 in
	--build) build=$2 ;;
	--workload) workload=$2 ;;
	--seconds) seconds=$2 ;;
	--rate) rate=$2 ;;
	--sessions) sessions=$2 ;;
	--seed) seed=$2 ;;
	--json) json=$2 ;;
	--port-prefix) prefix=$2 ;;
	--receive-lag) receive_lag=$2 ;;
	--apply-lag) apply_lag=$2 ;;
	--statement-time) statement_time=$2 ;;
	--logs) logs=$2 ;;
	--faults) faults=$2 ;;
	*) usage ;;
	esac
	shift 2
done
[ -z "$kill_primary" ] || faults="kill-primary@$((seconds / 3))${faults:+,$faults}"

examples=$(cd "$(dirname "$0")" && pwd)
build=$(cd "$build" && pwd)
run=${logs:-$(mktemp -d)}
mkdir -p "$run"

. "$examples/fleet_lib.sh"
choose_group

state_of()
{
	curl -s -m 2 "http://127.0.0.1:${prefix}60$1/state" || true
}

set_fault()
{
	curl -s -m 2 -o /dev/null -d "$2" "http://127.0.0.1:${prefix}60$1/fault"
}

# Prints the number of the target that is the primary of the highest term.
primary()
{
	for number in 1 2 3
	do
		state_of $number |
			sed -n "s/.*\"term\":\([0-9]*\).*\"primary\".*/\1 $number/p"
	done | sort -rn | sed -n '1s/.* //p'
}

inject()
{
	number=$(primary)
	case $1 in
	kill-primary)
		kill -9 "$(pid_of target$number)"
		;;
	stall-primary)
		set_fault "$number" '{"stallMs":8000}'
		;;
	partition-primary)
		set_fault "$number" '{"partition":true}'
		(sleep 8; set_fault "$number" '{"partition":false}') &
		pids="$pids $!"
		;;
	kill-host)
		kill -9 "$(pid_of h2)"
		sleep 3
		start_host h2
		;;
	restart-hosts)
		for host in h1 h2 h3
		do
			kill -TERM "$(pid_of $host)"
			wait "$(pid_of $host)" || echo "$host: status $?"
			start_host $host
			wait_for "http://127.0.0.1:${prefix}10${host#h}/healthz"
			sleep 1
		done
		;;
	*)
		echo "unknown fault $1" >&2
		exit 2
		;;
	esac
	echo "fault: $1 (primary was target $number)"
}

write_settings
start_fleet

"$build/kumquatload" --workload "$workload" --group "$group" \
	--hosts "127.0.0.1:${prefix}101,127.0.0.1:${prefix}102,127.0.0.1:${prefix}103" \
	--token example-caller-token --rate "$rate" --seconds "$seconds" \
	--sessions "$sessions" --seed "$seed" $forbid ${json:+--json "$json"} &
load=$!
pids="$pids $load"
started=$(date +%s)

IFS=,
for fault in $faults
do
	unset IFS
	left=$((started + ${fault#*@} - $(date +%s)))
	[ $left -le 0 ] || sleep $left
	inject "${fault%@*}"
done
unset IFS

status=0
wait $load || status=$?
exit $status
