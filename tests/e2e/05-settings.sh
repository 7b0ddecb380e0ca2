#!/bin/sh
# Checks that the settings of the examples are valid and that a file with an
# unknown key is refused.
set -eu
cd "$(dirname "$0")/../.."
build=$(cd "${1:-build}" && pwd)
for file in examples/*/h*.ini
do
	"$build/kumquatbridged" --check --config "$file"
done
faulty=$(mktemp)
trap 'rm -f "$faulty"' EXIT
sed 's/^grace.*//; s/^\[host\]/[host]\ncolour = red/' \
	examples/kalahari/h1.ini >"$faulty"
status=0
message=$("$build/kumquatbridged" --check --config "$faulty" 2>&1) ||
	status=$?
[ $status -eq 2 ]
echo "$message" | grep -q ':[0-9]*: host.colour is not a known key'
