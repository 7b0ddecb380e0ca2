#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# HOW=entries: another way to the same fault, see claim.txt.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ "$HOW" = entries ] && exec python3 -B entries.py
exec python3 -B case.py
