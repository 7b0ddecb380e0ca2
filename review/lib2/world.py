"""Stand-ins for the second review: the platform, backends, clients and hosts.

They follow the users' pages and record what they see. Everything runs on
loopback addresses and the real clock. The hosts are the project's own program,
started with the command of the deploy file and the settings template.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
ADDRESS = "127.0.0.1"
GRACE_S = 6
MEMORY_MB = 260
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Codes that promise that nothing of the client attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}
_given = set()


def free_port():
    """Returns a port outside the range of outgoing connections."""
    with open("/proc/sys/net/ipv4/ip_local_port_range",
              encoding="ascii") as file:
        low = int(file.read().split()[0])
    while True:
        port = random.SystemRandom().randrange(10000, min(low, 32000))
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        _given.add(port)
        return port


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's key-value store."""

    HISTORY_S = 20
    DELAY_S = 0.004

    def __init__(self):
        self.items, self.events = {}, []
        self.revision, self.oldest = 1, 0
        self.leases, self.next_lease = {}, 100
        self.changed = asyncio.Event()

    def _record(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events[0][0] < now - self.HISTORY_S:
            self.oldest = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"key": key,
                           "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created,
                           "lease": lease}
        self._record(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._record({"key": key, "revision": self.revision,
                          "deleted": True})

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease in [n for n, (_, until) in self.leases.items()
                      if until < now]:
            self._end_lease(lease)

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = [e for _, e in self.events
                      if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        rows = body.get("expect", [])
        now = [self.items.get(r["key"], {"key": r["key"], "revision": 0})
               for r in rows]
        if any(i["revision"] != r["revision"] for i, r in zip(now, rows)):
            return 412, {"items": now}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def serve(self, method, path, body):
        await asyncio.sleep(self.DELAY_S)
        self.expire()
        url = urlsplit(path)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) \
                if item else (404, {"current_rev": self.revision})
        if url.path == "/v1/kv-range":
            items = [i for k, i in sorted(self.items.items())
                     if k.startswith(query.get("prefix", "")) and
                     k > query.get("after", "")]
            return 200, {"items": items[:500], "has_more": len(items) > 500,
                         "current_rev": self.revision}
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-txn":
            return self._txn(body)
        if url.path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = max(body["ttl_ms"], 1000)
            self.leases[self.next_lease] = (ttl,
                                            time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(unquote(url.path.rsplit("/", 1)[1]))
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"ttl_ms": ttl}


class Backend:
    """A copy of a database, served with the line protocol."""

    HANDSHAKE_S = 0.012

    def __init__(self, group, name, zone="z1"):
        self.group, self.name, self.zone = group, name, zone
        self.role, self.term, self.state = "replica", 1, "ready"
        # Entries: (term, number, ids of the writes).
        self.log = []
        self.alive = True
        self.leads_until = None
        # How far it is behind as a replica.
        self.lag_s = group.lag_s
        self.slots = asyncio.Semaphore(group.slots)
        self.busy = 0
        self.port = free_port()
        self.writers, self.server = set(), None
        # Seconds that a statement works; may be replaced by a case.
        self.work = lambda verb: group.work_s
        self.born = int(time.time() * 1000)

    def position(self):
        return self.log[-1][:2] if self.log else (1, 0)

    def spell(self):
        return "%d.%d" % self.position()

    async def start(self):
        self.alive = True
        self.server = await asyncio.start_server(
            self._serve, ADDRESS, self.port, limit=1 << 21)

    async def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _session(self, reader, writer):
        words = (await reader.readline()).decode().split()
        if len(words) < 3 or words[0] != "START":
            return
        if len(self.writers) > self.group.max_conns:
            writer.write(b"ERR TOOMANY -\r\n")
            return
        if words[1] != self.group.name or (len(words) > 3 and
                                           words[3] != self.name):
            writer.write(b"ERR WRONGNODE -\r\n")
            return
        await asyncio.sleep(self.HANDSHAKE_S)
        writer.write(f"READY I {self.spell()}\r\n".encode())
        session = {"txn": None, "prepared": {}, "values": {}}
        while True:
            line = await reader.readline()
            if not line:
                return
            _, ident, text = line.decode().rstrip("\r\n").split(" ", 2)
            rows, error = await self._run(ident, text, session)
            if not self.alive:
                return
            out = [f"ROW {r}" for r in rows]
            out.append(f"ERR {error} {self.name}" if error else
                       f"DONE {self.name}/{self.spell()}/{ident}")
            txn = session["txn"]
            state = "I" if txn is None else "E" if txn["failed"] else "T"
            out.append(f"READY {state} {self.spell()}")
            writer.write("".join(o + "\r\n" for o in out).encode())
            await writer.drain()

    def _status(self):
        return [f"{self.role} {self.term} {self.spell()} {self.term} 0 "
                f"{self.busy} {len(self.writers)}"]

    async def _run(self, ident, text, session):
        words = text.split(" ")
        if words[0] == "AFTER":
            wanted = tuple(int(n) for n in words[1].split("."))
            if self.position() < wanted:
                return [], "LAGGING"
            words = words[2:]
        verb, txn = words[0], session["txn"]
        if verb == "BEGIN":
            if len(words) == 1 and self.role != "primary":
                return [], "READONLY"
            session["txn"] = {"writes": [], "plain": len(words) == 1,
                              "failed": False}
            return [], None
        if verb == "ROLLBACK":
            session["txn"] = None
            return [], None
        if verb == "SET":
            session["values"][words[1]] = " ".join(words[2:])
            return [], None
        if verb == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return [], None
        if verb == "PREPARE":
            session["prepared"][words[1]] = words[2]
            return [], None
        if verb == "DEALLOC":
            session["prepared"].pop(words[1], None)
            return [], None
        if verb == "STATUS":
            return self._status(), None
        if verb == "STEPDOWN":
            if int(words[1]) > self.term and self.role == "primary":
                self.role = "replica"
                self.group.follow(self)
            return self._status(), None
        if verb == "EXEC":
            verb = session["prepared"].get(words[1])
            if not verb:
                return [], "NOSTMT"
            words = words[1:]
        async with self.slots:
            self.busy += 1
            try:
                await asyncio.sleep(self.work(verb))
                return self._execute(ident, verb, words, session, txn)
            finally:
                self.busy -= 1

    def _execute(self, ident, verb, words, session, txn):
        if not self.alive:
            return [], "FAILED"
        plain = txn is None or txn["plain"]
        if self.role != "primary" and (
                (verb == "WRITE") or (txn and plain and
                                      (verb != "COMMIT" or txn["writes"]))):
            if txn:
                txn["failed"] = True
            return [], "READONLY"
        self.group.on_run(self, ident, verb, words)
        if verb == "READ":
            return ["row"], None
        if verb == "WRITE":
            if txn is None:
                self.commit([ident])
            else:
                txn["writes"].append(ident)
            return [], None
        if txn is None:
            return [], "MALFORMED"
        session["txn"] = None
        if txn["writes"]:
            self.commit(txn["writes"])
        return [], None

    def commit(self, idents):
        self.log.append((self.term, self.position()[1] + 1, tuple(idents)))
        self.group.on_commit(self, idents)


class Group:
    """A service: its copies, replication and promotions."""

    def __init__(self, name, platform, copies=3, slots=5, max_conns=55,
                 work_s=0.011, lag_s=0.02, promote_s=0.6):
        self.name, self.platform = name, platform
        self.slots, self.max_conns = slots, max_conns
        self.work_s, self.lag_s, self.promote_s = work_s, lag_s, promote_s
        self.backends = [Backend(self, f"i-{name}-{c}")
                         for c in "abcdefgh"[:copies]]
        self.backends[0].role = "primary"
        self.listeners = []
        # A primary that is partitioned from its replicas.
        self.partitioned = None
        # Promotions that took effect: time, backend, term, and the end of the
        # log with which it began.
        self.promotions = []

    async def replace(self, old, drain_s):
        """Replaces a backend: it drains, ends, and a new one gets its log."""
        old.state = "draining"
        self.platform.record.add(f"DRAINING {old.name}")
        await asyncio.sleep(drain_s)
        await old.crash()
        last = max(b.name[-1] for b in self.backends)
        new = Backend(self, old.name[:-1] + chr(ord(last) + 1))
        new.port, new.log, new.term = old.port, list(old.log), old.term
        self.backends[self.backends.index(old)] = new
        self.platform.store.remove(f"servers/{old.name}")
        await new.start()
        self.follow(new)
        self.platform.record.add(f"REPLACED {old.name} by {new.name}")
        return new

    def find(self, name):
        return next((b for b in self.backends if b.name == name), None)

    def leader(self):
        """The primary of the highest term, alive or not."""
        return max((b for b in self.backends if b.role == "primary"),
                   key=lambda b: b.term, default=None)

    def on_run(self, backend, ident, verb, words):
        self.platform.record.add(
            f"RUN {backend.name} {ident} {verb} {' '.join(words[1:])[:40]}")

    def on_commit(self, backend, idents):
        leads = self.leader() is backend
        self.platform.record.add(
            f"COMMIT {backend.name} {backend.spell()} {','.join(idents)}"
            f"{'' if leads else ' at a replaced primary'}")
        for listener in self.listeners:
            listener(backend, idents, leads)
        loop = asyncio.get_running_loop()
        for other in self.backends:
            if other is not backend:
                loop.call_later(other.lag_s, self._deliver, backend, other,
                                len(backend.log))

    def _deliver(self, source, target, length):
        if source is self.partitioned:
            return
        if source.alive and target.alive and target.role == "replica" and \
                source.term >= target.term and len(target.log) < length:
            target.term = source.term
            target.log = source.log[:length]

    def follow(self, backend):
        """Makes a copy follow the leader; what it has beyond is undone."""
        leader = self.leader()
        if leader and leader is self.partitioned:
            return
        if leader and leader is not backend and leader.alive and \
                leader.term >= backend.term:
            backend.role, backend.term = "replica", leader.term
            backend.log = list(leader.log)

    def sync(self):
        now = time.monotonic()
        for backend in self.backends:
            waits = backend.leads_until and now < backend.leads_until
            if backend.alive and backend is not self.leader() and not waits:
                self.follow(backend)

    def promote(self, name):
        backend = self.find(name)
        if not backend or not backend.alive:
            return 409
        if backend is self.leader():
            return 200
        asyncio.get_running_loop().call_later(
            self.promote_s, self._take_effect, backend)
        return 200

    def _take_effect(self, backend):
        if not backend.alive or backend is self.leader():
            return
        term = max(b.term for b in self.backends) + 1
        for other in self.backends:
            if other.role == "primary" and other.alive:
                # It goes on for a second after it reaches the new one.
                other.leads_until = time.monotonic() + 1
        backend.role, backend.term = "primary", term
        self.promotions.append((time.monotonic(), backend.name, term,
                                backend.position()[1]))
        self.platform.record.add(
            f"PROMOTED {backend.name} leads term {term} from "
            f"{backend.spell()}")
        for other in self.backends:
            if other.role == "replica" and other.alive:
                self.follow(other)


class Platform:
    """Store, promotion API, operator and registrations."""

    def __init__(self, record, groups=("g1",), **options):
        self.record, self.store = record, Store()
        self.groups = {n: Group(n, self, **options) for n in groups}
        # Orders to promote in the order of their arrival.
        self.orders = []
        self.store_port = self.api_port = 0
        self.version = 0

    async def start(self):
        self.store_port = await self._listen(self._store_call)
        self.api_port = await self._listen(self._api_call)
        for group in self.groups.values():
            for backend in group.backends:
                await backend.start()
        self.configure()
        self._register()
        asyncio.get_running_loop().create_task(self._tick())

    def configure(self):
        self.version += 3
        routes = []
        for name in self.groups:
            for kind, age in (("primary", None), ("bounded_staleness", 1500),
                              ("read_your_writes", 2500)):
                route = {"name": f"{name}-{kind}", "host": f"{name}-{kind}",
                         "prefix": "/", "type": kind, "timeout_ms": 1500,
                         "target_latency_ms": 400, "priority": 1,
                         "service": name, "attempts": 2}
                if age:
                    route["max_staleness_ms"] = age
                routes.append(route)
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": n, "max_conns": g.max_conns,
                          "sync_replicas": 0}
                         for n, g in self.groups.items()],
            "limits": {"tx_idle_ms": 3000}}).encode())

    def _register(self):
        for group in self.groups.values():
            group.sync()
            for backend in group.backends:
                key = f"servers/{backend.name}"
                if not backend.alive:
                    self.store.remove(key)
                    continue
                value = json.dumps({
                    "service": group.name, "zone": backend.zone,
                    "address": f"{ADDRESS}:{backend.port}", "version": "v1",
                    "slots": group.slots, "state": backend.state,
                    "cold_ms": 0, "db_role": backend.role, "seq": 1,
                    "born": backend.born}).encode()
                item = self.store.items.get(key)
                if not item or base64.b64decode(item["value"]) != value:
                    self.store.put(key, value)

    async def _tick(self):
        while True:
            self._register()
            self.store.expire()
            await asyncio.sleep(0.1)

    async def _listen(self, call):
        async def serve(reader, writer):
            try:
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    first, *lines = head.split("\r\n")
                    method, path, _ = first.split(" ")
                    headers = dict(line.lower().split(": ", 1)
                                   for line in lines if line)
                    length = int(headers.get("content-length", 0))
                    body = await reader.readexactly(length)
                    status, answer = await call(
                        method, path, headers,
                        json.loads(body) if body else {})
                    text = json.dumps(answer).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/"
                        f"json\r\nContent-Length: {len(text)}\r\n\r\n"
                        .encode() + text)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError, OSError,
                    asyncio.CancelledError):
                pass
            finally:
                writer.close()
        server = await asyncio.start_server(serve, ADDRESS, free_port(),
                                            limit=1 << 22)
        return server.sockets[0].getsockname()[1]

    async def _store_call(self, method, path, headers, body):
        return await self.store.serve(method, path, body)

    async def _api_call(self, method, path, headers, body):
        if (method, path) != ("POST", "/promotion"):
            return 404, {}
        order = (body["service"], body["id"],
                 headers["x-kumquatbridge-duty-holder"],
                 int(headers["x-kumquatbridge-fencing-token"]))
        self.orders.append(order)
        status = self.groups[body["service"]].promote(body["id"])
        self.record.add("ORDER service=%s id=%s holder=%s token=%d" % order +
                        f" answer={status}")
        return status, {}


def _render(template, fields):
    """Fills in the placeholders that the settings template uses."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else \
                value.get(part)
            if value is None:
                return None
        return value

    def section(match):
        value = lookup(match.group(1))
        if isinstance(value, dict):
            return "".join(match.group(2).replace("{{@}}", k)
                           .replace("{{.}}", str(v))
                           for k, v in value.items())
        return match.group(2) if value else ""

    def field(match):
        value = lookup(match.group(1))
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", field, text)


class Host:
    """A machine of the system, with one process of the project's program."""

    def __init__(self, number, world, zone="z1", region="r1"):
        self.name, self.world = f"front-{zone}-{number}", world
        self.zone, self.region = zone, region
        self.ports = {p: free_port() for p in
                      ("front", "readiness", "control", "internal")}
        self.store_port, self.api_port = (world.platform.store_port,
                                          world.platform.api_port)
        self.process, self.starts = None, 0
        self.log = os.path.join(world.folder, f"{self.name}.log")

    def _settings(self, first):
        with open(os.path.join(ROOT, "platform/settings.ini.template"),
                  encoding="utf-8") as file:
            template = file.read()
        return _render(template, {
            "node_name": self.name, "zone": self.zone, "region": self.region,
            "ip": ADDRESS, "zones": self.world.zones, "bootstrap": first,
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "listen_addrs": {p: f"{ADDRESS}:{self.ports[p]}"
                             for p in ("front", "readiness", "control")},
            "internal_ports": [self.ports["internal"],
                               self.ports["internal"]],
            "seeds": [f"{ADDRESS}:{h.ports['control']}"
                      for h in self.world.hosts[:3]],
            "platform": {"address": f"{ADDRESS}:{self.store_port}"},
            "cloud_api": {"address": f"{ADDRESS}:{self.api_port}"},
            "bounds": {"grace_s": GRACE_S}})

    async def start(self, first=False):
        path = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self._settings(first))
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["host"]["run"]
        words = [path if w.startswith("/etc/") else w for w in run.split()]
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log)
        self.starts += 1
        self.world.record.add(f"HOST {self.name} starts")

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm",
                      encoding="ascii") as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def runs(self):
        return self.process and self.process.returncode is None

    def signal(self, number):
        if self.runs():
            self.world.record.add(
                f"SIGNAL {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                ADDRESS, self.ports["readiness"]), 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Session:
    """A client's session, with one request at a time."""

    def __init__(self, world, host, database, word="u1"):
        self.world, self.host = world, host
        self.database, self.word = database, word
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ADDRESS, self.host.ports["front"],
                                    limit=1 << 22), 2)
        self.writer.write(f"START {self.database} {self.word}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY I"):
            raise ConnectionError(line.decode().strip() or "closed")
        return self

    async def ask(self, ident, text, timeout=8):
        """Returns the code of an error or None, the signature, the state."""
        record = self.world.record
        record.add(f"ASK {self.host.name} {ident} {text[:60]}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        error = signature = None
        while True:
            line = await asyncio.wait_for(self.reader.readline(), timeout)
            if not line.endswith(b"\n"):
                record.add(f"CUT {self.host.name} {ident}")
                raise ConnectionError("cut")
            word, _, rest = line.decode().strip().partition(" ")
            if word == "ERR":
                error = rest.split(" ")[0]
            elif word == "DONE":
                signature = rest
            elif word == "READY":
                record.add(f"ANSWER {ident} {error or 'ok'} {signature}")
                return error, signature, rest.split(" ")[0]

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


class World:
    """All parts of a case."""

    def __init__(self, case_file):
        self.case = os.path.dirname(os.path.abspath(case_file))
        self.folder = tempfile.mkdtemp(prefix="kb-review-")
        self.record = Record(self.case)
        self.hosts, self.platform = [], None
        self.zones = {"z1": "r1"}
        self.idents = 0
        self.acked = {}

    def ident(self):
        self.idents += 1
        return f"{self.idents:08x}"

    async def start(self, hosts=3, prepare=None, **options):
        self.platform = Platform(self.record, **options)
        await self.platform.start()
        self.hosts = [Host(n, self) for n in range(1, hosts + 1)]
        if prepare:
            await prepare()
        for host in self.hosts:
            await host.start(first=True)
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if all([await h.ready() for h in self.hosts]) and \
                    await self.write_once():
                return True
            await asyncio.sleep(0.2)
        return False

    async def write_once(self, host=None, group=None):
        group = group or next(iter(self.platform.groups))
        session = Session(self, host or self.hosts[0], f"{group}-primary")
        try:
            await session.open()
            error, _, _ = await session.ask(self.ident(), "WRITE item x")
            return error is None
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            session.close()

    def holder(self, group):
        """The host that the lease's record names."""
        item = self.platform.store.items.get(f"kumquatbridge/hold/{group}")
        if not item:
            return None
        name = json.loads(base64.b64decode(item["value"]))["holder"]
        return next((h for h in self.hosts if h.name == name), None)

    async def stop(self):
        for host in self.hosts:
            if host.runs():
                host.process.kill()
                await host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, case, seconds=115):
    """Runs a case and exits with its verdict."""
    async def run():
        world = World(case_file)
        try:
            return await asyncio.wait_for(case(world), seconds)
        except (OSError, asyncio.TimeoutError) as error:
            world.record.add(f"NOT RUN {error!r}")
            return NOT_RUN
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for host in world.hosts:
                    shutil.copy(host.log, keep)
            await world.stop()
    verdict = asyncio.run(run())
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)
