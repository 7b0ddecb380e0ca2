#!/usr/bin/env python3
"""Provokes the failed requests of docs/OPERATIONS.md and finds their causes.

Starts hosts in front of stand-in targets, makes one request fail for each
cause on that page, and finds the cause as the page describes: from the
request's id in the log of the caller's host to the log lines and metrics that
show the reason.

Usage: explain.py DAEMON
"""
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from callers import ask  # noqa: E402
from soak import Host  # noqa: E402
from standin import Platform  # noqa: E402

FAILED, HOLD, LEAD, STORE_LOST = 1811, 1310, 1309, 1605


class Session:
    """A caller's connection to one host."""

    def __init__(self, host):
        self.host = host

    async def open(self, database):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.host.ports["sessions"])
        self.writer.write(f"START {database} caller\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 5)
        assert line.startswith(b"READY"), line

    async def ask(self, ident, text):
        """Returns the error's code, or None for a success."""
        return (await ask(self.reader, self.writer, ident, text))[0]


class Fleet:
    """Three hosts in front of one group of stand-in targets."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.folder = tempfile.mkdtemp(prefix="explain-")
        self.platform = Platform(["ga"])
        self.group = self.platform.groups["ga"]
        self.hosts = []

    async def start(self):
        await self.platform.start()
        self.hosts = [Host(i, self.daemon, self.platform.port, self.folder)
                      for i in range(3)]
        for host in self.hosts:
            await host.start(True)
        await self.until(self.holder)

    async def stop(self):
        for host in self.hosts:
            host.signal(signal.SIGTERM)
        await asyncio.gather(*(h.process.wait() for h in self.hosts))

    async def until(self, condition):
        end = time.monotonic() + 20
        while not condition():
            if time.monotonic() > end:
                raise AssertionError("the expected state was not reached "
                                     "within 20 s; logs are in " + self.folder)
            await asyncio.sleep(0.05)

    def lines(self, host, event):
        path = os.path.join(self.folder, f"{host.name}.log")
        with open(path, encoding="utf-8") as log:
            for text in log:
                try:
                    line = json.loads(text)
                except ValueError:
                    continue
                if line.get("event") == event:
                    yield line

    def holder(self):
        """The running host that last logged the role of serving the group."""
        for host in self.hosts:
            if host.process.returncode is not None:
                continue
            roles = [line["role"] for line in self.lines(host, HOLD)
                     if line.get("role") and line["group"] == "ga"]
            if roles and roles[-1] == "serving":
                return host
        return None

    def other_host(self):
        return next(h for h in self.hosts
                    if h is not self.holder())

    def host_named(self, name):
        return next(h for h in self.hosts if h.name == name)

    async def failure(self, host, ident):
        """The log line of the failed request `ident`."""
        found = []

        def found_line():
            found[:] = [line for line in self.lines(host, FAILED)
                        if line["id"] == ident]
            return found
        await self.until(found_line)
        return found[0]

    def primary(self):
        return next(t for t in self.group.targets if t.role == "primary")


def expect(condition, what, line):
    if not condition:
        raise AssertionError(f"{what}: {line}")


async def outcome_unknown(fleet):
    """The target freezes after a write has been sent to it."""
    session = Session(fleet.other_host())
    await session.open("ga-primary")
    expect(await session.ask("w0", "WRITE item 1") is None, "w0", "failed")
    fleet.primary().running.clear()
    error = await session.ask("unknown1", "WRITE item 2")
    fleet.primary().running.set()
    line = await fleet.failure(session.host, "unknown1")
    expect(line["result"] == "outcome-unknown", f"answer {error}", line)
    expect(line["offered"] == "1", "the write was sent to the target", line)
    gate = fleet.host_named(line["gate"])
    expect(any(lead["to"] == "doubting" for lead in fleet.lines(gate, LEAD)),
           "the holder suspects its silent primary", line)


async def overloaded(fleet):
    """More statements arrive than the primary can run before they time out."""
    host = fleet.other_host()
    sessions = [Session(host) for _ in range(60)]
    for session in sessions:
        await session.open("ga-primary")
    slow = fleet.primary()
    slow.STATEMENT_S = 0.3
    errors = await asyncio.gather(*(
        s.ask(f"load{i}", "WRITE item 3") for i, s in enumerate(sessions)))
    slow.STATEMENT_S = 0.004
    ident = f"load{errors.index('BUSY')}"
    line = await fleet.failure(host, ident)
    expect(line["result"] in ("overloaded", "deadline"), "load", line)
    gate = fleet.host_named(line["gate"])
    url = f"http://127.0.0.1:{gate.ports['metrics']}/metrics"
    text = await asyncio.to_thread(
        lambda: urllib.request.urlopen(url, timeout=5).read().decode())
    counts = [float(row.split()[-1]) for row in text.splitlines()
              if row.startswith("kumquatbridge_target_refused_total{") or
              row.startswith("kumquatbridge_target_expired_total{")]
    expect(sum(counts) > 0, "the gate counts refused statements", counts)


async def no_primary(fleet):
    """The group's holder is killed while the store is unavailable."""
    session = Session(fleet.other_host())
    await session.open("ga-primary")
    expect(await session.ask("n0", "WRITE item 4") is None, "n0", "failed")
    fleet.platform.store.down = True
    fleet.holder().signal(signal.SIGKILL)
    for attempt in range(30):
        ident = f"none{attempt}"
        try:
            await session.ask(ident, "WRITE item 5")
        except (ConnectionError, asyncio.IncompleteReadError):
            # The host closed the session after the last refusal.
            await session.open("ga-primary")
            continue
        line = await fleet.failure(session.host, ident)
        if line["result"] == "no-primary":
            break
    expect(line["result"] == "no-primary", "the write was not refused", line)
    expect(line["offered"] == "0", "the write was not sent", line)
    living = [h for h in fleet.hosts if h.process.returncode is None]
    expect(any(hold.get("role") == "taking" for host in living
               for hold in fleet.lines(host, HOLD)),
           "another host tries to take over the group", line)
    expect(any(True for host in living
               for _ in fleet.lines(host, STORE_LOST)),
           "a host logs the loss of the store", line)
    fleet.platform.store.down = False
    await fleet.until(fleet.holder)


async def run(daemon):
    fleet = Fleet(daemon)
    await fleet.start()
    try:
        for kind in (outcome_unknown, overloaded, no_primary):
            await kind(fleet)
            print(f"{kind.__name__}: cause found", flush=True)
    except BaseException:
        print(f"logs are in {fleet.folder}", flush=True)
        raise
    finally:
        await fleet.stop()


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: explain.py DAEMON")
    asyncio.run(run(sys.argv[1]))
