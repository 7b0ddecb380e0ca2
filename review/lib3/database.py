"""Stand-in of a service: a primary and its replicas, as PROTOCOL.md says."""
import asyncio
import json
import time

from store import HEARTBEAT_S

DRAIN_S = 7.0


class Backend:
    STATEMENT_S = 0.004

    def __init__(self, service, ident, ip, zone, lag_s, slots=5):
        self.service, self.id, self.ip, self.zone = service, ident, ip, zone
        self.lag_s = lag_s
        self.role, self.term = "replica", 1
        self.held = 0
        self.log = []
        self.state = "ready"
        self.alive = False
        # It neither receives from other backends nor sends to them.
        self.deaf = False
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.writers = set()
        self.port = 0
        self.seq = 0
        # Until when its writes to the store do not arrive, and how late it
        # is with its next one after that.
        self.silent_until = 0
        self.server = None
        self.last_entry = b""
        # Names of the hosts that it is partitioned from.
        self.cut_from = set()
        self.healed = asyncio.Event()
        # Cleared while it is dark: it answers nothing.
        self.awake = asyncio.Event()
        self.awake.set()

    # The log: a list of (term, number, ids).
    def position(self):
        return "%d.%d" % self.log[-1][:2] if self.log else f"{self.term}.0"

    def has(self, point):
        term, number = (int(p) for p in point.split("."))
        return number == 0 or any(e[0] == term and e[1] == number
                                  for e in self.log) or \
            any((e[0], e[1]) >= (term, number) for e in self.log[-1:])

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.alive = True

    def crash(self):
        """The process is killed: connections are reset."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": self.service.name, "address": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slot_count,
            "state": self.state, "cold_ms": 0, "seq": self.seq,
            "db_role": self.role, "born": self.born}).encode()

    async def heartbeats(self):
        """Writes its entry; one that is silent for three beats is removed."""
        store, key = self.service.store, f"servers/{self.id}"
        shown, last, next_at = None, 0, 0
        while True:
            now = time.monotonic()
            state = (self.role, self.state)
            if self.alive and not store.down and now >= self.silent_until \
                    and (now >= next_at or state != shown or
                         key not in store.items):
                self.last_entry = self.entry()
                store.put(key, self.last_entry)
                shown, last, next_at = state, now, now + HEARTBEAT_S
            elif now - last > 3 * HEARTBEAT_S and key in store.items:
                store.remove(key)
                self.service.note(f"store: entry of {self.id} expired")
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def session(self, reader, writer):
        words = (await reader.readuntil(b"\r\n")).decode().split()
        await self.awake.wait()
        who = words[2] if len(words) > 2 else ""
        await self.reached_by(who)
        if words[0] != "START" or words[1] != self.service.name or (
                len(words) > 3 and words[3] != self.id):
            writer.write(b"ERR WRONGNODE other\r\n")
            return
        session = {"txn": None, "prepared": {}}
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            if line == "BYE":
                return
            await self.awake.wait()
            await self.reached_by(who)
            _, ident, text = line.split(" ", 2)
            rows, error = await self.run(ident, text, session)
            txn = session["txn"]
            state = "I" if txn is None else "E" if txn["failed"] else "T"
            out = "".join(f"ROW {row}\r\n" for row in rows)
            out += f"ERR {error} {self.id}\r\n" if error else \
                f"DONE {self.sign(ident, text)}\r\n"
            writer.write(
                (out + f"READY {state} {self.position()}\r\n").encode())
            await writer.drain()

    async def reached_by(self, who):
        while who in self.cut_from:
            await self.healed.wait()
            # What was held up meanwhile is lost.
            raise ConnectionError

    def sign(self, ident, text):
        return "-" if ident == "-" else f"{self.id}/{ident}"

    def status(self):
        return [f"{self.role} {self.term} {self.position()} {self.held} 0 0 "
                f"{len(self.writers)}"]

    async def run(self, ident, text, session):
        words = text.split(" ")
        if words[0] == "AFTER":
            if not self.has(words[1]):
                return [], "LAGGING"
            words = words[2:]
        verb, txn = words[0], session["txn"]
        if verb == "BEGIN":
            plain = len(words) == 1
            if plain and self.role != "primary":
                return [], "READONLY"
            session["txn"] = {"plain": plain, "writes": [], "failed": False}
            return [], None
        if verb == "ROLLBACK":
            session["txn"] = None
            return [], None
        if verb == "PREPARE":
            session["prepared"][words[1]] = words[2]
            return [], None
        if verb == "RESET":
            session["prepared"].clear()
            return [], None
        if verb in ("SET", "DEALLOC"):
            return [], None
        if verb == "STATUS":
            return self.status(), None
        if verb == "STEPDOWN":
            if self.role == "primary" and self.term < int(words[1]):
                self.role, self.term = "replica", int(words[1])
            return self.status(), None
        if verb == "EXEC":
            verb = session["prepared"].get(words[1])
            if not verb:
                return [], "NOSTMT"
        return await self.execute(ident, verb, session)

    async def execute(self, ident, verb, session):
        async with self.slots:
            await asyncio.sleep(self.STATEMENT_S)
            txn = session["txn"]
            if self.role != "primary" and (
                    (txn is None and verb == "WRITE") or
                    (txn and txn["plain"] and
                     (verb != "COMMIT" or txn["writes"]))):
                if txn:
                    txn["failed"] = True
                return [], "READONLY"
            if verb == "READ":
                return [f"row-{ident}"], None
            if verb == "WRITE":
                if txn is None:
                    await self.commit([ident])
                else:
                    txn["writes"].append(ident)
                return [], None
            session["txn"] = None
            await self.commit(txn["writes"])
            return [], None

    async def commit(self, ids):
        """Appends to the log; returns once it counts as acknowledged."""
        if not ids:
            return
        self.service.on_commit(self, ids)
        number = self.log[-1][1] + 1 if self.log else 1
        self.log.append((self.term, number, tuple(ids)))
        await self.service.replicate(self, len(self.log))


class Service:
    PROMOTE_S = 0.3

    def __init__(self, name, store, sync, note):
        self.name, self.store, self.sync, self.note = name, store, sync, note
        self.backends = []
        # Called with a backend as its promotion takes effect.
        self.on_promoted = lambda backend: None
        # Called with a backend and the ids that it commits.
        self.on_commit = lambda backend, ids: None

    async def start(self):
        self.backends[0].role = "primary"
        for backend in self.backends:
            await backend.start()
            asyncio.ensure_future(backend.heartbeats())

    def find(self, ident):
        return next((b for b in self.backends if b.id == ident), None)

    async def replicate(self, source, length):
        """Each replica receives the commit after its lag, in order."""
        received = asyncio.Event()
        loop = asyncio.get_running_loop()
        for replica in self.backends:
            if replica is not source:
                loop.call_later(replica.lag_s, self.deliver, source, replica,
                                length, received)
        if self.sync:
            await received.wait()

    def deliver(self, source, replica, length, received):
        if not source.alive or not replica.alive or replica.deaf or \
                source.deaf or \
                replica.role == "primary" or replica.term > source.term:
            return
        # A replica that was ahead of a promoted backend is rolled back.
        if replica.term < source.term or len(replica.log) < length:
            replica.log = source.log[:length]
        replica.term = source.term
        received.set()

    async def promote(self, ident, holder, token):
        backend = self.find(ident)
        self.note(f"promotion of {ident} ordered by {holder}, fence {token}")
        if not backend or not backend.alive:
            return 409
        if backend.role == "primary":
            return 200
        asyncio.get_running_loop().call_later(self.PROMOTE_S, self.effect,
                                              backend)
        return 200

    def effect(self, backend):
        if not backend.alive or backend.role == "primary":
            return
        backend.role = "primary"
        backend.term = max(b.term for b in self.backends) + 1
        self.note(f"{backend.id} leads term {backend.term} from position "
                  f"{backend.position()}")
        self.on_promoted(backend)
        loop = asyncio.get_running_loop()
        for other in self.backends:
            if other is not backend and other.alive:
                loop.call_later(1.0 if other.role == "primary" else 0.02,
                                self.follow, other, backend)

    def follow(self, other, leader):
        if other.alive and leader.alive and leader.role == "primary" and \
                not other.deaf and not leader.deaf and \
                leader.term > other.term:
            other.role, other.term = "replica", leader.term
            other.log = list(leader.log)
