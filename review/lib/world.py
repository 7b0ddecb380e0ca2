"""Stand-ins of the platform for the review: backends, promotion API, clients.

They follow the users' pages. The store is the project's own stand-in. All
addresses are on the loopback; ports are free ones.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "soak"))
from standin_store import Store  # noqa: E402

DAEMON = os.path.join(ROOT, "target", "kumquatbridged")
TEMPLATE = os.path.join(ROOT, "platform", "settings.ini.template")
HEARTBEAT_S = 1.2
LINE_MAX = 1024 * 1024


class CannotRun(Exception):
    """The case could not be set up; nothing is known about the rule."""


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8", errors="backslashreplace")
        self.began = time.monotonic()

    def add(self, text):
        at = time.monotonic() - self.began
        shown = text if len(text) < 300 else \
            f"{text[:200]}... ({len(text)} characters)"
        self.file.write(f"{at:8.3f} {shown!r}\n".replace("\\\\", "\\"))

    def say(self, text):
        self.add(text)
        print(text, flush=True)


class Backend:
    """One copy of a database, a primary or a replica, as the pages tell."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.role, self.term = "replica", 1
        self.state = "ready"
        self.db_role_reported = None
        # Entries of the log: term, number, tuple of (item, data, id).
        self.log = []
        self.items = {}
        self.alive = True
        self.leads_until = None
        self.slots = asyncio.Semaphore(group.slots)
        self.queued = 0
        self.conns = set()
        self.server = None
        self.port = 0
        self.beat_at = 0
        self.lag_s = group.lag_s
        # Cleared while it is dark: it gets and sends nothing.
        self.in_reach = asyncio.Event()
        self.in_reach.set()
        # Names of the hosts to which its link is cut: nothing passes.
        self.cut_from = set()

    def position(self):
        if not self.log:
            return "1.0"
        return f"{self.log[-1][0]}.{self.log[-1][1]}"

    def includes(self, point):
        term, number = (int(p) for p in point.split("."))
        return number == 0 or any(
            e[0] == term and e[1] == number for e in reversed(self.log))

    def set_log(self, log):
        self.log = list(log)
        self.items = {}
        for entry in self.log:
            for item, data, _ in entry[2]:
                self.items[item] = data

    def receive(self, entry):
        self.log.append(entry)
        for item, data, _ in entry[2]:
            self.items[item] = data

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=2 * LINE_MAX)
        self.port = self.server.sockets[0].getsockname()[1]
        self.alive = True

    async def crash(self):
        """The process ends; its connections are reset, new ones refused."""
        self.alive = False
        self.server.close()
        for writer in list(self.conns):
            writer.transport.abort()
        self.conns.clear()

    async def come_back(self):
        """It comes back with its log, as a replica if another one leads."""
        leader = self.group.leader()
        if leader is not self:
            self.role = "replica"
        self.slots = asyncio.Semaphore(self.group.slots)
        self.queued = 0
        await self.start()

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            await self.session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    async def session(self, reader, writer):
        await self.in_reach.wait()
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        words = line.split(" ")
        caller = words[2] if len(words) > 2 else ""
        await self.link_to(caller)
        if words[0] != "START" or words[1] != self.group.name or (
                len(words) > 3 and words[3] != self.name):
            writer.write(f"ERR WRONGNODE {self.name}\r\n".encode())
            return
        if len(self.conns) > self.group.max_conns:
            writer.write(f"ERR TOOMANY {self.name}\r\n".encode())
            return
        async with self.slots:
            await asyncio.sleep(self.group.handshake_s)
        txn = None
        prepared = {}
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            raw = (await reader.readuntil(b"\r\n"))[:-2]
            await self.in_reach.wait()
            await self.link_to(caller)
            _, ident, text = raw.decode("utf-8", "surrogateescape").split(
                " ", 2)
            rows, error, txn = await self.run(ident, text, txn, prepared)
            await self.in_reach.wait()
            await self.link_to(caller)
            if not self.alive:
                return
            state = "I" if txn is None else "E" if txn["failed"] else "T"
            out = "".join(f"ROW {row}\r\n" for row in rows)
            if error:
                out += f"ERR {error} {self.name}\r\n"
            elif ident == "-":
                out += "DONE -\r\n"
            else:
                out += f"DONE {self.name}/{ident}\r\n"
            out += f"READY {state} {self.position()}\r\n"
            writer.write(out.encode("utf-8", "surrogateescape"))
            await writer.drain()

    async def link_to(self, caller):
        """Waits until the link to the machine of `caller` is not cut."""
        while caller in self.cut_from:
            await asyncio.sleep(0.01)

    def status(self):
        return (f"{self.role} {self.term} {self.position()} 0 0 0 "
                f"{len(self.conns)}")

    async def run(self, ident, text, txn, prepared):
        words = text.split(" ")
        if words[0] == "AFTER":
            if not self.includes(words[1]):
                return [], "LAGGING", txn
            words = words[2:]
        verb = words[0]
        if verb == "BEGIN":
            plain = len(words) == 1
            if plain and self.role != "primary":
                return [], "READONLY", txn
            return [], None, {"writes": [], "plain": plain, "failed": False}
        if verb == "ROLLBACK":
            return [], None, None
        if verb == "PREPARE":
            prepared[words[1]] = words[2]
            return [], None, txn
        if verb in ("SET", "DEALLOC"):
            return [], None, txn
        if verb == "RESET":
            prepared.clear()
            return [], None, txn
        if verb == "STEPDOWN":
            if int(words[1]) > self.term and self.role == "primary":
                self.role, self.term = "replica", int(words[1])
            return [self.status()], None, txn
        if verb == "STATUS":
            return [self.status()], None, txn
        if verb == "EXEC":
            kind = prepared.get(words[1])
            if not kind:
                return [], "NOSTMT", txn
            verb, words = kind, words[1:]
        if verb not in ("READ", "WRITE", "COMMIT"):
            return [], "MALFORMED", txn
        if self.queued >= self.group.queue:
            return [], "BUSY", txn
        self.queued += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.group.work_s)
                if not self.alive:
                    return [], "FAILED", txn
                result = await self.execute(ident, verb, words[1:], txn)
        finally:
            self.queued -= 1
        return result

    async def execute(self, ident, verb, words, txn):
        empty = verb == "COMMIT" and txn and not txn["writes"]
        if self.role != "primary" and not empty and (
                verb == "WRITE" or (txn and txn["plain"])):
            if txn:
                txn["failed"] = True
            return [], "READONLY", txn
        self.group.on_executed(self, ident, verb, " ".join(words))
        if verb == "READ":
            rows = [self.items[words[0]]] if words[0] in self.items else []
            return rows, None, txn
        if verb == "WRITE":
            write = (words[0], " ".join(words[1:]), ident)
            if txn is None:
                await self.commit(ident, [write])
            else:
                txn["writes"].append(write)
            return [], None, txn
        if txn is None:
            return [], "MALFORMED", txn
        await self.commit(ident, txn["writes"])
        return [], None, None

    async def commit(self, ident, writes):
        if not writes:
            return
        number = self.log[-1][1] + 1 if self.log else 1
        entry = (self.term, number, tuple(writes))
        self.receive(entry)
        self.group.on_commit(self, ident, entry)
        received = self.group.replicate(self, entry)
        if self.group.sync:
            for done in asyncio.as_completed(received):
                if await done:
                    return
            # No replica has received it: it is never acknowledged. When the
            # backend leads no more, it gives up and closes the connection.
            while self.role == "primary" and self.alive:
                await asyncio.sleep(0.05)
            raise ConnectionError


class Group:
    """The copies of one database, with replication and promotion."""

    # After this time a replaced primary that reaches the new one gives up.
    REPLACED_S = 1.0

    def __init__(self, world, name, zones, settings):
        self.world, self.name = world, name
        self.slots = settings.get("slots", 3)
        self.queue = settings.get("queue", 24)
        self.max_conns = settings.get("max_conns", 21)
        self.work_s = settings.get("work_s", 0.005)
        self.handshake_s = settings.get("handshake_s", 0.012)
        self.lag_s = settings.get("lag_s", 0.008)
        self.sync = settings.get("sync", 0)
        self.promote_s = settings.get("promote_s", 1.0)
        self.backends = [Backend(self, f"i-{name}-{n}", zone)
                         for n, zone in zip("abcdef", zones)]
        self.backends[0].role = "primary"
        # Time at which the newest promotion took effect.
        self.effect_at = None
        self.promotions = []
        # Commits at a backend after another one had been promoted: id, time.
        self.old_commits = {}
        # Calls of the promotion API: time, id, holder, token.
        self.orders = []
        self.executed = []
        self.committed = {}

    def leader(self):
        return max((b for b in self.backends if b.role == "primary"),
                   key=lambda b: b.term, default=None)

    def on_executed(self, backend, ident, verb, rest):
        self.executed.append((ident, f"{verb} {rest}".strip()))
        self.world.record.add(f"run {backend.name} {ident} {verb} {rest}")

    def on_commit(self, backend, ident, entry):
        self.committed.setdefault(ident, []).append(backend.name)
        late = self.leader() is not backend
        if late:
            self.old_commits[ident] = time.monotonic()
        self.world.record.add(
            f"commit {backend.name} {ident} {entry[0]}.{entry[1]}"
            + (" at the replaced primary" if late else ""))

    def replicate(self, source, entry):
        """Returns a task for each replica that is to receive the entry."""
        return [asyncio.create_task(self.deliver(source, target, entry))
                for target in self.backends
                if target is not source and target.alive]

    async def deliver(self, source, target, entry):
        await asyncio.sleep(target.lag_s)
        waited = time.monotonic()
        while True:
            last = target.log[-1][1] if target.log else 0
            if not source.alive or not target.alive or \
                    target.term > entry[0] or target.role == "primary":
                # It never receives the entry from this primary.
                return False
            if last >= entry[1]:
                return True
            if last == entry[1] - 1:
                break
            if time.monotonic() - waited > 0.3:
                target.set_log(source.log[:entry[1]])
                return True
            await asyncio.sleep(0.001)
        target.term = entry[0]
        target.receive(entry)
        return True

    def promote(self, ident, holder, token):
        self.orders.append((time.monotonic(), ident, holder, token))
        self.world.record.add(
            f"promotion ordered {ident} holder={holder} token={token}")
        target = next((b for b in self.backends if b.name == ident), None)
        if not target or not target.alive:
            return 409
        if self.leader() is target:
            return 200
        asyncio.get_running_loop().call_later(
            self.promote_s, self.take_effect, target)
        return 200

    def take_effect(self, target):
        if not target.alive or self.leader() is target:
            return
        now = time.monotonic()
        term = max(b.term for b in self.backends) + 1
        target.role, target.term = "primary", term
        self.effect_at = now
        self.promotions.append((now, target, {
            w[2] for e in target.log for w in e[2]}))
        self.world.record.add(
            f"promotion took effect {target.name} term={term} "
            f"log={target.position()}")
        for other in self.backends:
            if other is target:
                continue
            if other.role == "replica" and other.alive:
                other.set_log(target.log)
                other.term = term

    def tick(self):
        now = time.monotonic()
        leader = self.leader()
        for backend in self.backends:
            if not backend.alive or backend is leader or not leader or \
                    not leader.alive or not backend.in_reach.is_set():
                continue
            if backend.role == "primary" and not backend.leads_until:
                backend.leads_until = now + self.REPLACED_S
            if backend.role == "primary" and backend.leads_until and \
                    now < backend.leads_until:
                continue
            if backend.role == "primary":
                backend.role, backend.leads_until = "replica", None
                self.world.record.add(f"steps back {backend.name}")
            if backend.term < leader.term:
                backend.term = leader.term
                backend.set_log(leader.log)
            elif len(backend.log) < len(leader.log) - 200:
                backend.set_log(leader.log)
        for backend in self.backends:
            self.beat(backend, now)

    def beat(self, backend, now):
        """Heartbeats; the entry goes after three intervals of silence."""
        key = f"servers/{backend.name}"
        store = self.world.store
        if not backend.alive or not backend.in_reach.is_set():
            if key in store.items and \
                    now - backend.beat_at > 3 * HEARTBEAT_S:
                self.world.record.add(f"entry expired {backend.name}")
                store.remove(key)
            return
        backend.beat_at = now
        value = json.dumps({
            "service": self.name, "address": f"127.0.0.1:{backend.port}",
            "zone": backend.zone, "version": "v1", "slots": self.slots,
            "state": backend.state, "cold_ms": 0, "db_role": backend.role,
            "seq": 1, "born": 1}).encode()
        present = store.items.get(key)
        if not present or base64.b64decode(present["value"]) != value:
            store.put(key, value)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def render(text, values):
    """Fills in the settings template; sections without a value go."""
    import re
    text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}",
                  lambda _: "".join(f"{z} = {r}\n" for z, r in
                                    values["zones"].items()), text, flags=re.S)
    text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}\n?", "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(values.get(m.group(1), "")), text)


class Host:
    """One process of the daemon on an entry machine."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.ports = {p: free_port() for p in
                      ("front", "readiness", "control", "metrics")}
        self.process = None
        self.ended = []
        self.expected_end = False

    def write_settings(self, first):
        address = {p: f"127.0.0.1:{n}" for p, n in self.ports.items()}
        values = {
            "node_name": self.name, "zone": self.zone,
            "region": self.world.zones[self.zone],
            "zones": self.world.zones,
            "limits.cpu_share": 0.25, "limits.link_mbps": 1000.0,
            "listen_addrs.front": address["front"],
            "listen_addrs.readiness": address["readiness"],
            "listen_addrs.control": address["control"],
            "ip": "127.0.0.1", "internal_ports.0": self.ports["metrics"],
            "seeds": ",".join(f"127.0.0.1:{h.ports['control']}"
                              for h in self.world.hosts[:3]),
            "bootstrap": str(first).lower(),
            "platform.address": f"127.0.0.1:{self.world.port}",
            "cloud_api.address": f"127.0.0.1:{self.world.port}",
            "bounds.grace_s": self.world.grace_s}
        path = os.path.join(self.world.folder, f"{self.name}.conf")
        with open(TEMPLATE, encoding="utf-8") as template:
            text = render(template.read(), values)
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text)
        return path

    async def start(self, first):
        path = self.write_settings(first)
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--config", path, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.expected_end = False

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self, number=signal.SIGKILL):
        self.expected_end = True
        if self.is_running():
            self.process.send_signal(number)
            await self.process.wait()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class World:
    """A small deployment on the loopback."""

    def __init__(self, case_folder, groups, hosts=8, zones=None,
                 sync_replicas=0):
        self.record = Record(case_folder)
        self.zones = zones or {"caxias-centro": "serra-gaucha",
                               "caxias-galopolis": "serra-gaucha",
                               "osorio-anexo": "litoral-norte"}
        names = list(self.zones)
        self.store = Store()
        self.sync_replicas = sync_replicas
        self.groups = {n: Group(self, n, names, s) for n, s in groups.items()}
        self.hosts = [Host(self, f"front-{names[i % 3]}-{i + 1}",
                           names[i % 3]) for i in range(hosts)]
        self.folder = tempfile.mkdtemp(prefix="kb-review-")
        self.port = 0
        self.stopped = False
        self.tasks = []
        # bounds.grace_s of the settings.
        self.grace_s = 6

    async def start(self):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/kumquatbridged is not built")
        server = await asyncio.start_server(self.http, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        for group in self.groups.values():
            for backend in group.backends:
                await backend.start()
        self.configure(1)
        self.tasks.append(asyncio.create_task(self.tick()))
        for host in self.hosts:
            await host.start(True)
        await self.wait_ready()

    async def wait_ready(self):
        until = time.monotonic() + 20
        for group in self.groups:
            while True:
                for host in self.hosts:
                    try:
                        client = Client(self, host, f"{group}-primary")
                        await client.open()
                        answer = await client.query("READ ready")
                        client.close()
                        if answer.ok:
                            break
                    except (OSError, asyncio.IncompleteReadError,
                            asyncio.TimeoutError):
                        pass
                else:
                    if time.monotonic() > until:
                        raise CannotRun("the fleet does not come to serve")
                    await asyncio.sleep(0.2)
                    continue
                break

    def holder(self, group):
        """The host that last took the group by a write under a condition."""
        item = self.store.items[f"kumquatbridge/hold/{group}"]
        name = json.loads(base64.b64decode(item["value"]))["holder"]
        return next(h for h in self.hosts if h.name == name)

    def configure(self, version):
        routes = []
        for name in self.groups:
            for kind, age in (("primary", None), ("bounded_staleness", 1500),
                              ("read_your_writes", 2500)):
                route = {"name": f"r-{name}-{kind}", "host": f"{name}-{kind}",
                         "prefix": "/", "type": kind, "timeout_ms": 1000,
                         "target_latency_ms": 400, "priority": 1,
                         "service": name, "attempts": 2}
                if age:
                    route["max_staleness_ms"] = age
                routes.append(route)
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": n, "max_conns": g.max_conns,
                          "sync_replicas": self.sync_replicas}
                         for n, g in self.groups.items()],
            "limits": {"tx_idle_ms": 3000}}).encode())

    async def tick(self):
        while True:
            for group in self.groups.values():
                group.tick()
            await asyncio.sleep(0.05)

    async def http(self, reader, writer):
        try:
            while True:
                await self.request(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = dict(h.lower().split(": ", 1) for h in head[1:] if h)
        length = int(headers.get("content-length", 0))
        body = json.loads(await reader.readexactly(length)) if length else {}
        if path == "/promotion":
            status = self.groups[body["service"]].promote(
                body["id"], headers["x-kumquatbridge-duty-holder"],
                int(headers["x-kumquatbridge-fencing-token"]))
            answer = {}
            await asyncio.sleep(0.004)
        else:
            await asyncio.sleep(0.004)
            status, answer = await self.store.serve(method, path, body)
        text = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()

    async def stop(self):
        self.stopped = True
        for host in self.hosts:
            if host.is_running():
                host.expected_end = True
                host.process.kill()
                await host.process.wait()
        self.record.file.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, error, signature, rows, state):
        self.error, self.signature = error, signature
        self.rows, self.state = rows, state
        self.ok = error is None


class Client:
    """A session. Ids are new for each request."""

    def __init__(self, world, host, database):
        self.world, self.host, self.database = world, host, database
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.host.ports["front"],
                                    limit=2 * LINE_MAX), 2)
        self.writer.write(f"START {self.database} u1\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        if not line.startswith(b"READY"):
            self.close()
            raise ConnectionError(line.decode())

    def close(self):
        if self.writer:
            self.writer.close()

    async def answer(self, timeout=8):
        error = signature = None
        rows = []
        while True:
            raw = await asyncio.wait_for(self.reader.readuntil(b"\r\n"),
                                         timeout)
            word, _, rest = raw[:-2].decode(
                "utf-8", "surrogateescape").partition(" ")
            if word == "ERR":
                error = rest.split(" ")[0]
            elif word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                signature = rest
            elif word == "READY":
                return Answer(error, signature, rows, rest.split(" ")[0])

    async def query(self, text, ident=None, timeout=8):
        ident = ident or new_id()
        self.world.record.add(f"sent {self.host.name} {ident} {text}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode(
            "utf-8", "surrogateescape"))
        answer = await self.answer(timeout)
        answer.ident = ident
        self.world.record.add(
            f"answered {self.host.name} {ident} "
            f"{answer.error or 'DONE ' + answer.signature} {answer.state}")
        return answer


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case):
    """Runs `case(trouble)`: a list of what broke the rule, or CannotRun."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    loop = asyncio.new_event_loop()
    # Connections that are lost in a fault are no errors of the script.
    loop.set_exception_handler(lambda _loop, _context: None)
    try:
        broken = loop.run_until_complete(asyncio.wait_for(case(trouble), 110))
        for text in broken[:5]:
            print(f"BROKEN {text}")
        print(f"trouble={int(trouble)}: "
              + (f"the rule was broken ({len(broken)})" if broken else
                 "the rule held"))
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    # All processes have ended; open connections need no further care.
    os._exit(code)
