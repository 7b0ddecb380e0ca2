#!/usr/bin/env python3
"""Restores the store from an older copy and checks that changes of the
configuration from after it are in force in time.

Starts hosts in front of stand-in targets, writes several configurations,
restores the store from a copy that is older than they are, and adds a database
that every host has to serve within the time allowed. Callers write all the
while: no acknowledged write may be lost and no host may go without service.

Usage: restored.py DAEMON [--seed N] [--hosts N]
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from soak import Host  # noqa: E402
from standin import Platform  # noqa: E402

# A change is in force everywhere this long after it was accepted.
IN_FORCE_S = 3
# Age of the copy, and time without the store.
COPY_AGE_S = 9
DOWN_S = 2


async def is_served(host, database):
    """Whether a host lets a caller open a session of a database."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", host.ports["sessions"])
    try:
        writer.write(f"START {database} caller\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 3)
        return line.startswith(b"READY")
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


async def can_write(host, database, ident):
    """Whether a write through a host is acknowledged."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", host.ports["sessions"])
    try:
        writer.write(f"START {database} caller\r\n".encode())
        await asyncio.wait_for(reader.readline(), 3)
        writer.write(f"QUERY {ident} WRITE item {ident}\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 3)
        return line.startswith(b"DONE")
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


async def run(options, folder):
    chance = random.Random(options.seed)
    platform = Platform(["ga", "gb"])
    await platform.start()
    hosts = [Host(i, options.daemon, platform.port, folder)
             for i in range(options.hosts)]
    failures = []
    await asyncio.gather(*(h.start(True) for h in hosts))
    await asyncio.sleep(4)
    # Changes that the copy does not have yet.
    for number in range(6):
        await asyncio.sleep(chance.uniform(0.2, 0.5))
        platform.configure(10 + number, [f"early{number}"])
    await asyncio.sleep(1)
    platform.store.down = True
    await asyncio.sleep(DOWN_S)
    platform.store.restore(COPY_AGE_S)
    platform.store.down = False
    await asyncio.sleep(chance.uniform(0.2, 2))
    platform.configure(20, ["added"])
    accepted = time.monotonic()
    await asyncio.sleep(IN_FORCE_S)
    for host in hosts:
        if not await is_served(host, "added"):
            failures.append(f"{host.name} does not serve a database that was "
                            f"added {time.monotonic() - accepted:.1f} s ago")
        if await is_served(host, "early5"):
            failures.append(f"{host.name} serves a database that was removed")
        for group in platform.groups:
            if not await can_write(host, f"{group}-primary",
                                   f"{host.name}{group}"):
                failures.append(f"{host.name} has no primary of {group}")
    for host in hosts:
        host.signal(15)
    await asyncio.gather(*(h.process.wait() for h in hosts))
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=5)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="restored-")
    failures = asyncio.run(run(options, folder))
    for failure in failures:
        print(f"FAILED {failure}")
    print(f"logs are in {folder}" if failures
          else "every change from after the restore was in force in time")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
