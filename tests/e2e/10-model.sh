#!/bin/sh
# Runs the exhaustive models of acknowledgement and of the lease. The argument,
# the build directory, is not used.
set -eu
exec sh "$(dirname "$0")/../../model/run.sh"
