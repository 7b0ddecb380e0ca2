#!/bin/sh
# Runs the exhaustive model of promotion and acknowledgement. The build
# directory that is given as $1 is not needed.
set -eu
exec sh "$(dirname "$0")/../../model/run.sh"
