#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the programs of
# the deploy file. Their stand-ins are Python, so that they are only checked.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for folder in ("lib2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
