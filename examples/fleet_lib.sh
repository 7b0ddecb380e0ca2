# Starts and stops a fleet on loopback: three hosts, a group of three stand-in
# targets and a stand-in for the platform's store. To be sourced; the script
# must set build, run, logs, workload, prefix, examples, receive_lag, apply_lag
# and statement_time before.

pids=
cleanup()
{
	trap - EXIT INT TERM
	for pid in $pids
	do
		kill -9 "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	[ -n "$logs" ] || rm -rf "$run"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# start NAME PROGRAM...: starts a program, logs to NAME.log and records its pid.
start()
{
	name=$1
	shift
	"$@" >>"$run/$name.log" 2>&1 &
	eval "pid_$name=$!"
	pids="$pids $!"
}

pid_of()
{
	eval "echo \$pid_$1"
}

start_host()
{
	(cd "$run" && exec "$build/kumquatbridged" --config "$1.ini") \
		>>"$run/$1.log" 2>&1 &
	eval "pid_$1=$!"
	pids="$pids $!"
}

wait_for()
{
	tries=0
	until curl -sf -m 1 -o /dev/null "$1"
	do
		tries=$((tries + 1))
		if [ $tries -gt 100 ]
		then
			echo "no answer from $1" >&2
			tail -n 5 "$run"/*.log >&2
			exit 2
		fi
		sleep 0.1
	done
}

# Sets the workload's group and the slots and connections of each target.
choose_group()
{
	case $workload in
	kalahari) group=race-1 slots=2 connections=16 ;;
	sledza) group=repairs-1 slots=5 connections=55 ;;
	*) usage ;;
	esac
}

# Writes the settings of the example with the ports of $prefix.
write_settings()
{
	for file in h1.ini h2.ini h3.ini resources.json
	do
		sed -e "s/127\.0\.0\.1:8\([0-9][0-9][0-9]\)/127.0.0.1:$prefix\1/g" \
			-e "s/\"port\": 8\([0-9][0-9][0-9]\)/\"port\": $prefix\1/g" \
			"$examples/$workload/$file" >"$run/$file"
	done
}

# Starts all processes and waits until the hosts are ready.
start_fleet()
{
	start store "$build/standin_store" --port "${prefix}701"
	for number in 1 2 3
	do
		role="--follow 127.0.0.1:${prefix}401"
		[ $number = 1 ] && role="--primary-term 1"
		start target$number "$build/standin_target" --name target$number \
			--port "${prefix}40$number" --control-port "${prefix}60$number" \
			--slots $slots --connections $connections --connect-delay 12 \
			--statement-time "$statement_time" \
			--receive-lag "$receive_lag" --apply-lag "$apply_lag" $role
	done
	for number in 1 2 3
	do
		wait_for "http://127.0.0.1:${prefix}60$number/state"
	done
	for host in h1 h2 h3
	do
		start_host $host
	done
	for number in 1 2 3
	do
		wait_for "http://127.0.0.1:${prefix}10$number/healthz"
	done
}
