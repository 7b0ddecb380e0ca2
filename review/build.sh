#!/bin/sh
# The scripts need target/kumquatbridged, which the build of the deploy file
# makes. All stand-ins are Python programs and need no build: this only checks
# that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py [1-9]/*.py ../soak/standin_store.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
		"$file" || exit 1
done
