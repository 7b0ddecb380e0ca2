#!/bin/sh
# Checks that the soak gives no port to two of its processes.
set -eu
cd "$(dirname "$0")/../../soak"
python3 -B - <<'END'
import ports

# Each number is drawn twice.
numbers = iter(n // 2 for n in range(40000, 42000))
ports.random.SystemRandom = lambda: type(
    "Draws", (), {"randrange": lambda self, first, end: next(numbers)})()
found = [ports.free_port() for _ in range(500)]
assert len(set(found)) == len(found), "a port was given twice"
END
