# Prints the probes per second and target, and the time that a write waits for
# its confirmation, at several rates of writes. Sourced by hops.sh.

# Prints the sum of a counter over all hosts, multiplied by an optional factor.
counter()
{
	for number in 1 2 3
	do
		curl -s -m 2 "http://127.0.0.1:${prefix}10$number/metrics"
	done | sed -n "s/^kumquatbridge_$1{[^}]*} //p" |
		awk -v scale="${2:-1}" \
			'{ sum += $1 } END { printf "%.0f\n", sum * scale }'
}

# Makes $1 writes over $2 connections and prints one row of results; without
# writes, measures 5 idle seconds.
measure()
{
	writes=$1 callers=$2
	began=$(date +%s%N)
	probes=$(counter probes_total)
	waits=$(counter gate_confirmation_waits_total)
	waited=$(counter gate_confirmation_wait_seconds_total 1000000)
	figures="0 0 0"
	if [ "$writes" -gt 0 ]
	then
		figures=$(hops --writes-only --requests "$writes" \
			--connections "$callers")
	else
		sleep 5
	fi
	ended=$(date +%s%N)
	echo "$callers $figures $((ended - began))" \
		"$(($(counter probes_total) - probes))" \
		"$(($(counter gate_confirmation_waits_total) - waits))" \
		"$(($(counter gate_confirmation_wait_seconds_total 1000000) - waited))"
}

{
	measure 0 0
	measure 1000 1
	measure 4500 4
	measure 15000 16
	measure 32000 64
	measure 64000 256
} | awk '
BEGIN {
	print "connections  writes/s  median us   p99 us  waits" \
		"  mean wait us  probes/s per target"
}
{
	probes = $6 / ($5 / 1e9) / 3
	wait = $7 ? $8 / $7 : 0
	printf "%11d %9.0f %10.0f %8.0f %6d %13.0f %20.1f\n", $1, $2, $3, $4,
		$7, wait, probes
	rows = rows (NR > 1 ? "," : "") sprintf("{\"writes_per_s\":%.0f," \
		"\"median_us\":%.0f,\"confirm_wait_us\":%.0f," \
		"\"probes_per_s\":%.1f}", $2, $3, wait, probes)
	if (NR == 2 || (NR > 1 && probes < low))
		low = probes
	if (NR > 1 && probes > high)
		high = probes
}
END {
	printf "highest to lowest rate of probes while writing: %.2f\n",
		high / low
	printf "{\"bench\":\"probe_rate\",\"ratio\":%.2f,\"rows\":[%s]}\n",
		high / low, rows
}'
