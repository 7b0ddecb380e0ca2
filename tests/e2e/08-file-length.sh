#!/bin/sh
# Checks that no source file or header has more than 400 lines.
set -eu
cd "$(dirname "$0")/../.."
status=0
for file in $(git ls-files '*.c' '*.h' | grep -v '^src/gen/')
do
	lines=$(wc -l <"$file")
	[ "$lines" -le 400 ] && continue
	echo "$file has $lines lines"
	status=1
done
exit "$status"
