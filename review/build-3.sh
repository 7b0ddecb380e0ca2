#!/bin/sh
# Builds the stand-ins of the scripts under review/11 to review/15. They are
# Python files of review/lib3, which need no compiler: this checks that they
# can be loaded.
set -e
cd "$(dirname "$0")/lib3"
for module in store database fleet clients network; do
	python3 -B -c "import $module"
done
