#!/bin/sh
# Prints the cost of watching one more group for a host, in processor time,
# memory and bytes, from the difference between 1 and 17 groups. Options are
# passed to hops.sh.
set -eu
bench=$(cd "$(dirname "$0")" && pwd)
few=$(sh "$bench/hops.sh" --watched 1 "$@")
many=$(sh "$bench/hops.sh" --watched 17 "$@")
printf '%s\n%s\n' "$few" "$many" | awk '
{
	printf "%d groups: %.0f us/s, %.1f MB resident, %.0f B/s\n", $1, $2,
		$3 / 1e6, $4
	groups[NR] = $1
	cpu[NR] = $2
	memory[NR] = $3
	bytes[NR] = $4
}
END {
	more = groups[2] - groups[1]
	printf "{\"bench\":\"watched\",\"group_cpu_us_per_s\":%.0f,",
		(cpu[2] - cpu[1]) / more
	printf "\"group_bytes_per_s\":%.0f,",
		(bytes[2] - bytes[1]) / more
	printf "\"group_memory_bytes\":%.0f,\"one_group_cpu_us_per_s\":%.0f}\n",
		(memory[2] - memory[1]) / more, cpu[1]
}'
