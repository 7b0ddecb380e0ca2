"""Stand-ins for the platform in the soak: store, promotion API and targets.

They implement the platform's published protocols on the loopback and record
every request, so that the soak can check every answer. They are not part of
the product.
"""
import asyncio
import base64
import json

from ports import free_port
from standin_store import Store


class Target:
    """A copy of a database that is served with the line protocol."""

    STATEMENT_S = 0.004
    LAG_S = 0.02

    def __init__(self, group, name, slots=2):
        self.group, self.name = group, name
        self.role, self.term = "replica", 1
        self.state = "ready"
        # A replaced primary goes on accepting writes until then.
        self.leads_until = 0
        self.log = []
        self.applied = 0
        self.slots = asyncio.Semaphore(slots)
        self.server = None
        self.port = free_port()
        self.running = asyncio.Event()
        self.running.set()
        self.conns = set()
        self.faults = []

    def position(self):
        if not self.applied:
            return "1.0"
        term, number = self.log[self.applied - 1][:2]
        return f"{term}.{number}"

    def includes(self, point):
        term, number = (int(p) for p in point.split("."))
        if number == 0:
            return True
        return any(e[0] == term and e[1] == number
                   for e in self.log[:self.applied])

    async def start(self):
        if self.role == "primary" and self.group.newest_primary() is not self:
            self.role = "replica"
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    async def crash(self):
        self.server.close()
        for writer in list(self.conns):
            writer.transport.abort()
        self.conns.clear()

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            await self.session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    async def session(self, reader, writer):
        line = (await reader.readline()).decode().split()
        if not line or line[1] != self.group.name or (
                len(line) > 3 and line[3] != self.name):
            writer.write(b"ERR WRONGNODE other\r\n")
            return
        txn = None
        prepared = {}
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            raw = await reader.readline()
            if not raw:
                return
            await self.running.wait()
            _, ident, text = raw.decode().rstrip("\r\n").split(" ", 2)
            self.group.on_statement(ident, line[2])
            rows, error, txn = await self.run(ident, text, txn, prepared)
            state = "I" if txn is None else "E" if txn.get("failed") else "T"
            out = "".join(f"ROW {row}\r\n" for row in rows)
            if error:
                out += f"ERR {error} {self.name}\r\n"
            else:
                point = self.position()
                out += f"DONE {self.name}/{point}/{ident}\r\n"
            writer.write(
                (out + f"READY {state} {self.position()}\r\n").encode())
            await writer.drain()

    async def run(self, ident, text, txn, prepared):
        words = text.split(" ")
        if words[0] == "AFTER":
            if not self.includes(words[1]):
                return [], "LAGGING", txn
            words = words[2:]
        verb = words[0]
        if verb == "BEGIN":
            if self.role != "primary" and len(words) == 1:
                return [], "READONLY", txn
            return [], None, {"writes": [], "read_write": len(words) == 1}
        if verb == "ROLLBACK":
            return [], None, None
        if verb == "PREPARE":
            prepared[words[1]] = words[2]
            return [], None, txn
        if verb in ("SET", "RESET", "DEALLOC"):
            if verb == "RESET":
                prepared.clear()
            return [], None, txn
        if verb == "STATUS":
            return [f"{self.role} {self.term} {self.position()} 0 0 0 "
                    f"{len(self.conns)}"], None, txn
        if verb == "STEPDOWN":
            if int(words[1]) > self.term:
                self.role, self.term = "replica", int(words[1])
            return [f"{self.role} {self.term} {self.position()} 0 0 0 "
                    f"{len(self.conns)}"], None, txn
        if verb == "EXEC":
            verb = prepared.get(words[1])
            words = words[1:]
            if not verb:
                return [], "NOSTMT", txn
        async with self.slots:
            await asyncio.sleep(self.STATEMENT_S)
            return self.execute(ident, verb, words[1:], txn)

    def execute(self, ident, verb, words, txn):
        read_write = txn is None or txn["read_write"]
        if self.role != "primary" and (
                verb == "WRITE" or (txn and read_write and txn["writes"])
                or (txn and read_write and verb != "COMMIT")):
            if txn:
                txn["failed"] = True
            return [], "READONLY", txn
        if verb == "READ":
            return ["value"], None, txn
        if verb == "WRITE":
            if txn is None:
                self.commit([ident])
                return [], None, None
            txn["writes"].append(ident)
            return [], None, txn
        if txn is None:
            return [], "MALFORMED", txn
        self.commit(txn["writes"])
        return [], None, None

    def commit(self, idents):
        if not idents:
            return
        number = self.log[-1][1] + 1 if self.log else 1
        self.log.append((self.term, number, tuple(idents)))
        self.applied = len(self.log)
        if self.group.newest_primary() is not self:
            self.group.replaced_commits.update(idents)
            self.group.rolled_back.update(idents)
        self.group.replicate(self, len(self.log))


class Group:
    """The copies of one database, with replication and promotion."""

    PROMOTE_S = 0.3
    # Time that a replaced primary needs to learn of the new one.
    REPLACED_S = 1.0

    def __init__(self, name, store):
        self.name, self.store = name, store
        self.targets = [Target(self, f"{name}-{i}") for i in "abc"]
        self.targets[0].role = "primary"
        self.alive = {t.name: True for t in self.targets}
        self.rolled_back = set()
        self.promotions = 0
        self.tokens = []
        # Told of each statement with the word of its connection's START.
        self.on_statement = lambda ident, word: None
        # Names of the hosts that ordered promotions.
        self.promoters = []
        # Targets of these orders, and how late the next ones are carried out.
        self.ordered = []
        self.order_delays = []
        # Writes that a replaced primary committed.
        self.replaced_commits = set()

    def newest_primary(self):
        return max((t for t in self.targets if t.role == "primary"),
                   key=lambda t: t.term, default=None)

    def replicate(self, source, length):
        loop = asyncio.get_running_loop()
        for target in self.targets:
            if target is not source:
                loop.call_later(target.LAG_S, self.deliver, source, target,
                                length)

    def deliver(self, source, target, length):
        if not (self.alive[source.name] and self.alive[target.name]):
            return
        if source.term < target.term or target.role == "primary":
            return
        target.term = source.term
        if len(target.log) < length:
            target.log = source.log[:length]
            target.applied = len(target.log)

    def synchronise_replicas(self):
        leader = max(self.targets, key=lambda t: t.term
                     if t.role == "primary" else 0)
        now = asyncio.get_running_loop().time()
        for target in self.targets:
            if target.role == "primary" and now < target.leads_until:
                continue
            if target is not leader and self.alive[target.name] and \
                    self.alive[leader.name] and leader.term >= target.term:
                target.role, target.term = "replica", leader.term
                target.log = list(leader.log)
                target.applied = len(target.log)

    async def promote(self, ident, token, holder):
        self.tokens.append(token)
        self.promoters.append(holder)
        self.ordered.append(ident)
        if self.order_delays:
            await asyncio.sleep(self.order_delays.pop())
        target = next((t for t in self.targets if t.name == ident), None)
        if not target or not self.alive[ident]:
            return 409
        if target.role == "primary":
            return 200
        asyncio.get_running_loop().call_later(
            self.PROMOTE_S, self.become_primary, target)
        return 200

    def become_primary(self, target):
        if not self.alive[target.name] or target.role == "primary":
            return
        self.promotions += 1
        term = max(t.term for t in self.targets) + 1
        for other in self.targets:
            for entry in other.log[len(target.log):]:
                self.rolled_back.update(entry[2])
        target.role, target.term = "primary", term
        now = asyncio.get_running_loop().time()
        for other in self.targets:
            if other is target or not self.alive[other.name]:
                continue
            if other.role == "primary":
                other.leads_until = now + self.REPLACED_S
            else:
                other.log = list(target.log)
                other.applied = len(other.log)
                other.term = term

    def update_registrations(self):
        for target in self.targets:
            key = f"servers/{target.name}"
            if not self.alive[target.name]:
                self.store.remove(key)
                continue
            value = json.dumps({
                "service": self.name,
                "address": f"127.0.0.1:{target.port}", "zone": "z1",
                "version": "v1", "slots": 2, "state": target.state, "cold_ms": 0,
                "db_role": target.role, "seq": 1, "born": 1}).encode()
            present = self.store.items.get(key)
            if not present or base64.b64decode(present["value"]) != value:
                self.store.put(key, value)


DEPTH = 100_000
# Entries of another writer among those of the targets, which name no target.
ODD_ENTRIES = {
    "servers/odd-nested": b"[" * DEPTH + b"]" * DEPTH,
    "servers/odd-number": b'{"slots": ' + b"9" * 400 + b"}",
    "servers/odd-port": (
        b'{"service": "ga", "address": "127.0.0.1:99999", "zone": "z1",'
        b' "slots": 2, "state": "ready", "db_role": "primary"}'),
    "servers/odd-bytes": b"\xff\x00\xfe",
    "servers/" + "odd" * 60: b"{}",
}


class Door:
    """An address of the platform that can turn its callers away."""

    def __init__(self):
        self.port = 0
        self.busy = False


class Platform:
    """The store and the promotion API behind HTTP servers.

    With `keys`, the configuration holds teams.
    """

    def __init__(self, group_names, keys=None):
        self.store = Store()
        self.keys = keys
        self.groups = {n: Group(n, self.store) for n in group_names}
        self.port = 0

    async def start(self):
        self.port = (await self.open_door()).port
        for group in self.groups.values():
            for target in group.targets:
                await target.start()
        self.configure(1)
        asyncio.get_running_loop().create_task(self.run_periodically())

    async def open_door(self):
        """Opens another address, such as one for a single host."""
        door = Door()
        server = await asyncio.start_server(
            lambda reader, writer: self.http(door, reader, writer),
            "127.0.0.1", 0)
        door.port = server.sockets[0].getsockname()[1]
        return door

    def configure(self, version, added=()):
        """Writes a configuration; `added` names databases of the first group.

        Odd entries precede it, so that hosts which stop reading at one of them
        do not get the configuration.
        """
        for key, value in ODD_ENTRIES.items():
            self.store.put(key, value)
        routes = [{"name": f"r-{host}", "host": host, "prefix": "/",
                   "type": "primary", "timeout_ms": 1000,
                   "target_latency_ms": 500, "priority": 1,
                   "service": next(iter(self.groups)), "attempts": 2}
                  for host in added]
        for name in self.groups:
            for kind, age in (("primary", None), ("bounded_staleness", 1500),
                              ("read_your_writes", 2500)):
                route = {"name": f"r-{name}-{kind}",
                         "host": f"{name}-{kind}", "prefix": "/",
                         "type": kind, "timeout_ms": 1000,
                         "target_latency_ms": 500, "priority": 1,
                         "service": name, "attempts": 2}
                if age:
                    route["max_staleness_ms"] = age
                routes.append(route)
                routes.append({**route, "name": f"p-{name}-{kind}",
                               "host": f"{name}-{kind}-public",
                               "public": True})
        teams = {"tenants": self.keys.tenants()} if self.keys else {}
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes, **teams,
            "services": [{"name": n, "max_conns": 16, "sync_replicas": 0}
                         for n in self.groups],
            "limits": {"tx_idle_ms": 3000}}).encode())

    async def run_periodically(self):
        while True:
            for group in self.groups.values():
                group.synchronise_replicas()
                group.update_registrations()
            await asyncio.sleep(0.2)

    async def http(self, door, reader, writer):
        try:
            while await self.request(door, reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def request(self, door, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = dict(h.lower().split(": ", 1) for h in head[1:] if h)
        length = int(headers.get("content-length", 0))
        body = json.loads(await reader.readexactly(length) or b"{}") \
            if length else {}
        if path == "/promotion":
            group = self.groups[body["service"]]
            status = await group.promote(
                body["id"],
                int(headers["x-kumquatbridge-fencing-token"]),
                headers["x-kumquatbridge-duty-holder"])
            answer = {}
        elif door.busy:
            status, answer = 503, {}
        else:
            status, answer = await self.store.serve(method, path, body)
        text = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Store-Era: {self.store.era}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        return True
