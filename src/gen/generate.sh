#!/bin/sh
# Regenerates the XDR code from each .x file in this directory.
set -eu
cd "$(dirname "$0")"
for source in *.x
do
	base=${source%.x}
	rm -f "${base}.h" "${base}_xdr.c"
	rpcgen -C -h -o "${base}.h" "$source"
	rpcgen -C -c -o "${base}_xdr.c" "$source"
done
