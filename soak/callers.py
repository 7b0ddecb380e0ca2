"""Callers of the soak, which check every answer, and what they record."""
import asyncio
import random
import time

# Errors after which the statement has had no effect.
NOT_EXECUTED = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE",
                "TOOMANY"}
# The last of a level's callers uses a public database and has no key.
CALLERS = 4
# Operations in the sessions of two of three levels, which outlive a key.
LONG_SESSION = 5000


class Records:
    """Answers to callers, to be compared with the targets' logs."""

    def __init__(self):
        self.acked = {}
        self.not_executed = {}
        self.counts = {}
        self.violations = []
        self.last_write = time.monotonic()
        self.longest_gap = 0.0

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def record_ack(self, group, ident, at):
        self.acked.setdefault(group, {})[ident] = at
        self.longest_gap = max(self.longest_gap, at - self.last_write)
        self.last_write = at


async def ask(reader, writer, ident, text):
    """Sends a query; returns error code (or None), signature and state."""
    writer.write(f"QUERY {ident} {text}\r\n".encode())
    error = signature = None
    while True:
        line = await asyncio.wait_for(reader.readline(), 8)
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        word, rest = (line.decode().strip() + " ").split(" ", 1)
        if word == "ERR":
            error = rest.split(" ")[0]
        elif word == "DONE":
            signature = rest.strip()
        elif word == "READY":
            return error, signature, rest.split(" ")[0]


class Caller:
    """A session that reads and writes until it is stopped."""

    def __init__(self, soak, number, group, kind, key=None):
        self.soak, self.number = soak, number
        self.group, self.kind = group, kind
        self.random = random.Random(f"{soak.seed}/{number}")
        self.own = None
        self.key, self.database = key or "", f"{group}-{kind}"
        if soak.keys and key is None:
            if number % CALLERS == CALLERS - 1:
                self.database += "-public"
            else:
                names = soak.keys.names()
                self.key = names[(number - number // CALLERS) % len(names)]

    async def run(self):
        while not self.soak.stopped:
            host = self.random.choice(self.soak.hosts)
            try:
                await self.session(host)
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError, ValueError):
                self.soak.records.count("session lost")
            await asyncio.sleep(0.05)

    async def session(self, host):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", host.ports["sessions"])
        self.own = []
        try:
            began = time.monotonic()
            word = self.key or ("" if self.soak.keys else f"u{self.number}")
            writer.write(f"START {self.database} {word}".strip().encode()
                         + b"\r\n")
            line = await asyncio.wait_for(reader.readline(), 3)
            if line.startswith(b"ERR NOAUTH"):
                self.refuse(began)
            if not line.startswith(b"READY"):
                return
            if self.soak.keys and not self.is_public():
                self.soak.keys.accept(self.key, began)
            for _ in range(self.length()):
                if self.soak.stopped:
                    return
                await self.operation(reader, writer)
                await asyncio.sleep(self.random.uniform(0, 0.05))
            writer.write(b"BYE\r\n")
        finally:
            writer.close()

    def ident(self, began=None):
        """Returns a new id; `began` is when its transaction did."""
        self.soak.idents += 1
        ident = f"{self.soak.seed}x{self.number}x{self.soak.idents}"
        if self.soak.keys:
            self.soak.keys.send(
                ident, None if self.is_public() else self.key,
                began or time.monotonic())
        return ident

    def length(self):
        """Returns for how many operations a session stays open."""
        if self.number // CALLERS % 3 < 2:
            return LONG_SESSION
        return self.random.randrange(5, 60)

    def is_public(self):
        return self.database.endswith("-public")

    def refuse(self, began):
        if self.soak.keys:
            self.soak.keys.refuse(self.key, began)

    async def operation(self, reader, writer):
        kind = self.random.random()
        if kind < 0.3:
            await self.write(reader, writer)
        elif kind < 0.45:
            await self.transaction(reader, writer)
        else:
            await self.read(reader, writer)

    async def write(self, reader, writer):
        began = time.monotonic()
        ident = self.ident()
        records = self.soak.records
        error, signature, _ = await ask(
            reader, writer, ident, f"WRITE item {ident}")
        records.count(f"write {error or 'ok'}")
        if not error:
            records.record_ack(self.group, ident, time.monotonic())
            self.own.append(ident)
        elif error in NOT_EXECUTED:
            records.not_executed.setdefault(self.group, set()).add(ident)
        if error == "NOAUTH":
            self.refuse(began)

    async def transaction(self, reader, writer):
        began = time.monotonic()
        idents = [self.ident(began)
                  for _ in range(self.random.randrange(1, 4))]
        commit = self.ident(began)
        records = self.soak.records
        error, _, _ = await ask(reader, writer, "b" + idents[0], "BEGIN")
        if error:
            records.count(f"begin {error}")
            if error == "NOAUTH":
                self.refuse(began)
            return
        for ident in idents:
            error, _, state = await ask(
                reader, writer, ident, f"WRITE item {ident}")
            if error:
                break
            await asyncio.sleep(self.random.uniform(0, 0.02))
        if error:
            records.count(f"txn {error}")
            if state != "I":
                await ask(reader, writer, "r" + idents[0], "ROLLBACK")
            records.not_executed.setdefault(self.group, set()).update(idents)
            return
        error, _, _ = await ask(reader, writer, commit, "COMMIT")
        records.count(f"txn {error or 'ok'}")
        if not error:
            for ident in idents:
                records.record_ack(self.group, ident, time.monotonic())
            self.own.extend(idents)
        elif error in NOT_EXECUTED:
            records.not_executed.setdefault(self.group, set()).update(idents)

    async def read(self, reader, writer):
        records = self.soak.records
        began = time.monotonic()
        ident = self.ident()
        error, signature, _ = await ask(
            reader, writer, ident, "READ item")
        records.count(f"read {error or 'ok'}")
        if not error:
            self.check_read(signature, ident, began)
        elif error == "NOAUTH":
            self.refuse(began)

    def check_read(self, signature, ident, began):
        """Checks that the target's log included what the read must see."""
        group = self.soak.platform.groups[self.group]
        name, point, returned_ident = signature.split("/")
        if returned_ident != ident:
            self.soak.records.violations.append(
                f"answer to {returned_ident} received for {ident}")
        number = int(point.split(".")[1])
        age = {"primary": 0, "bounded_staleness": 1.5,
               "read_your_writes": 2.5}[self.kind]
        target = next(t for t in group.targets if t.name == name)
        included = {i for e in target.log if e[1] <= number for i in e[2]}
        required = {i for i, at in
                    self.soak.records.acked.get(self.group, {}).items()
                    if at < began - age}
        if self.kind == "read_your_writes":
            required.update(self.own)
        missing = required - included - group.rolled_back
        if missing:
            self.soak.records.violations.append(
                f"stale read {ident} of {self.kind} at {name}: "
                f"{len(missing)} missing, such as "
                f"{sorted(missing)[0]}")
