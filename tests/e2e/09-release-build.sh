#!/bin/sh
# Builds the programs as they are released: without tests, so without the
# injected defects of src/defect.h.
set -eu
cd "$(dirname "$0")/../.."
build=${1:-build}
cmake -S . -B "$build-release" -DCMAKE_BUILD_TYPE=Release -DKB_TESTS=OFF \
	>/dev/null
cmake --build "$build-release" -j "$(nproc)" >/dev/null
if grep -q KB_DEFECTS "$build-release/compile_commands.json"
then
	echo "the released programs contain the injected defects"
	exit 1
fi
