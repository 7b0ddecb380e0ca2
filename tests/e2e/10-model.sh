#!/bin/sh
# Runs the exhaustive models of acknowledgement and of the hold. The build
# directory that is given as $1 is not needed.
set -eu
exec sh "$(dirname "$0")/../../model/run.sh"
