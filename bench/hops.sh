#!/bin/sh
# Measures the cost of one hop and of two. With --probe-rate, measures how the
# probes and the wait for confirmation depend on the rate of writes. With
# --watched N, measures the cost of a host that watches N groups without serving
# statements. Starts a fleet on loopback; all targets are in the data centre of
# host h1, which makes h1 the gate of each.
set -eu

usage()
{
	echo "usage: $0 [--build DIR] [--port-prefix N] [--requests N]" \
		"[--connections N] [--idle N] [--watched N]" \
		"[--probe-rate]" >&2
	exit 2
}

build=build prefix=14 requests=20000 callers=16 idle=2000 watched=0
probe_rate=
while [ $# -gt 0 ]
do
	case $1 in
	--probe-rate) probe_rate=1; shift; continue ;;
	esac
	[ $# -ge 2 ] || usage
	case $1 in
	--build) build=$2 ;;
	--port-prefix) prefix=$2 ;;
	--requests) requests=$2 ;;
	--connections) callers=$2 ;;
	--idle) idle=$2 ;;
	--watched) watched=$2 ;;
	*) usage ;;
	esac
	shift 2
done

idle_seconds=20 workload=sledza receive_lag=2 apply_lag=2 statement_time=0 logs=
bench=$(cd "$(dirname "$0")" && pwd)
examples=$bench/../examples
build=$(cd "$build" && pwd)
run=$(mktemp -d)
. "$examples/fleet_lib.sh"

# Adds copies of the first group to the resources, $watched groups in all.
add_groups()
{
	python3 - "$run/resources.json" "$watched" <<END
import copy, json, sys
path, count = sys.argv[1], int(sys.argv[2])
resources = json.load(open(path))
group = resources[0]
for number in range(2, count + 1):
    more = copy.deepcopy(group)
    more["name"] += f"-{number}"
    for target in more["spec"]["targets"]:
        target["name"] += f"-{number}"
    resources.append(more)
json.dump(resources, open(path, "w"))
END
}

choose_group
slots=64 connections=128
write_settings
sed -i -e 's/"dataCentre": "[^"]*"/"dataCentre": "riga-1"/' \
	-e 's/"region": "[^"]*"/"region": "riga"/' \
	-e "s/\"slots\": [0-9]*/\"slots\": $slots/" \
	-e "s/\"connections\": [0-9]*/\"connections\": 100/" \
	"$run/resources.json"
[ "$watched" -le 1 ] || add_groups
start_fleet

# Runs bench_hops against the fleet.
hops()
{
	"$build/bench_hops" --gate "${prefix}101" --entry "${prefix}102" \
		--primary "${prefix}401" --replica "${prefix}402" \
		--hosts "$pid_h1,$pid_h2,$pid_h3" \
		--targets "$pid_target1,$pid_target2,$pid_target3" \
		--group "$group" "$@"
}

# Prints the bytes exchanged between the hosts and the targets over the open
# connections, counting 52 bytes of headers per segment.
target_bytes()
{
	ss -tinOH state established "( dport = :${prefix}401 or \
		dport = :${prefix}402 or dport = :${prefix}403 )" |
		tr ' ' '\n' |
		awk -F: '
		$1 == "bytes_sent" || $1 == "bytes_received" { sum += $2 }
		$1 == "segs_out" || $1 == "segs_in" { sum += $2 * 52 }
		END { printf "%.0f\n", sum }'
}

# Prints the processor time in clock ticks and the resident pages of host h2,
# which watches the groups and is not a gate, and the output of target_bytes.
idle_usage()
{
	awk '{ print $14 + $15 }' "/proc/$pid_h2/stat"
	awk '{ print $2 }' "/proc/$pid_h2/statm"
	target_bytes
}

# Prints the number of groups, microseconds of processor time per second,
# resident bytes, and bytes per second between one host and the targets.
measure_idle()
{
	echo "$(idle_usage)" >"$run/idle"
	sleep $idle_seconds
	idle_usage | paste "$run/idle" - | awk -v groups="$watched" \
		-v hertz="$(getconf CLK_TCK)" -v page="$(getconf PAGESIZE)" \
		-v seconds=$idle_seconds '
		NR == 1 { us = ($2 - $1) / hertz * 1e6 / seconds }
		NR == 2 { resident = $2 * page }
		NR == 3 {
			bytes = ($2 - $1) / seconds / 3
			printf "%d %.0f %.0f %.0f\n", groups, us, resident,
				bytes
		}'
}

# Until membership has converged, requests may take an extra hop.
sleep 3
if [ "$watched" -gt 0 ]
then
	measure_idle
	exit
fi
if [ -n "$probe_rate" ]
then
	. "$bench/probe_rate.sh"
	exit
fi
hops --requests "$requests" --connections "$callers"
"$build/bench_connections" "${prefix}101" "$pid_h1" "$idle"
