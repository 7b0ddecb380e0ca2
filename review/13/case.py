"""See claim.txt. Exit status: 0 rule held, 1 rule broken, 2 could not run."""
import asyncio
import json
import os
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
from clients import Closed, Session, new_id  # noqa: E402
from database import Backend, Service  # noqa: E402
from fleet import Fleet  # noqa: E402
from store import Http, Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
DATABASE = "counter-intake"
WRITERS = 10
# The site: 600 ms a promote.
Service.PROMOTE_S = 0.6
RESTART_S = 0.3


class Case:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.record = open(os.path.join(HERE, "record.txt"), "w")
        self.store = Store()
        self.service = Service("repairs-ledger-1", self.store, 0, self.note)
        for ident, zone, lag in (("i-a", "z1", 0.004), ("i-b", "z2", 0.004),
                                 ("i-c", "z3", 0.02)):
            self.service.backends.append(
                Backend(self.service, ident, "127.0.0.1", zone, lag))
        self.a = self.service.backends[0]
        self.service.on_commit = self.committed
        self.late, self.acked, self.broken = set(), 0, []
        self.stopped = False
        self.ordered = asyncio.Event()
        self.folder = folder

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def committed(self, backend, ids):
        """Whether a promote has replaced the backend that commits."""
        if any(b.role == "primary" and b.term > backend.term
               for b in self.service.backends):
            self.late.update(ids)
            self.note(f"{backend.id}, replaced, commits {ids}")

    async def promotion(self, method, target, headers, body):
        status = await self.service.promote(
            body["id"], headers["x-kumquatbridge-duty-holder"],
            headers["x-kumquatbridge-fencing-token"])
        self.ordered.set()
        return status, {}

    async def store_call(self, method, target, headers, body):
        return await self.store.call(method, target, body)

    async def housekeeping(self):
        while True:
            if not self.store.down:
                self.store.expire()
            await asyncio.sleep(0.05)

    async def writer(self, number, fleet):
        turn = number
        while not self.stopped:
            host = fleet.hosts[turn % len(fleet.hosts)]
            turn += 1
            session = Session(host.ip, fleet.ports["front"], DATABASE)
            try:
                await session.open()
                while not self.stopped:
                    ident = new_id()
                    answer = await session.ask(f"WRITE {ident} data", ident)
                    if answer[1] == "DONE":
                        self.acked += 1
                        self.note(f"write {ident} acknowledged: {answer[2]}")
                        if ident in self.late:
                            self.broken.append(ident)
                    else:
                        self.note(f"write {ident} answered {answer[1]} "
                                  f"{answer[2]}")
                        await asyncio.sleep(0.02)
                    await asyncio.sleep(0.01)
            except Closed:
                await asyncio.sleep(0.02)
            finally:
                session.close()

    async def disrupt(self, fleet):
        if not TROUBLE:
            await asyncio.sleep(8)
            return
        self.note("the store is down; i-a, the primary, goes dark")
        self.store.down = True
        self.a.awake.clear()
        try:
            await asyncio.wait_for(self.ordered.wait(), 4.5)
        except asyncio.TimeoutError:
            self.note("no promotion was ordered meanwhile")
            self.store.down = False
            await asyncio.sleep(3)
            return
        await asyncio.sleep(0.004)
        self.note("all processes are killed; the store and i-a are back")
        for host in fleet.hosts:
            host.signal(signal.SIGKILL)
        self.store.down = False
        self.a.awake.set()
        for host in fleet.hosts:
            await host.process.wait()
        await asyncio.sleep(RESTART_S)
        for host in fleet.hosts:
            await host.start(False)
        self.note("all processes are started again")
        await asyncio.sleep(6)

    async def run(self):
        store_port = await Http(self.store_call).start("127.0.0.1")
        cloud_port = await Http(self.promotion).start("127.0.0.1")
        await self.service.start()
        self.store.put("op/config", json.dumps({
            "version": 3, "routes": [
                {"name": "r1", "host": DATABASE, "prefix": "/",
                 "type": "primary", "timeout_ms": 1000, "priority": 1,
                 "target_latency_ms": 400, "service": self.service.name}],
            "services": [{"name": self.service.name, "max_conns": 55,
                          "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 3000}}).encode())
        tasks = [asyncio.ensure_future(self.housekeeping())]
        fleet = Fleet(self.folder, {"z1": "r1", "z2": "r1", "z3": "r2"},
                      f"127.0.0.1:{store_port}", f"127.0.0.1:{cloud_port}")
        for zone in ("z1", "z2", "z3", "z1", "z2"):
            fleet.add(zone)
        try:
            await fleet.start()
            if not await fleet.wait_ready():
                self.note("the hosts are not ready")
                return 2
            await asyncio.sleep(3)
            tasks += [asyncio.ensure_future(self.writer(i, fleet))
                      for i in range(WRITERS)]
            await asyncio.sleep(2)
            if not self.acked:
                self.note("no write is acknowledged before the disruption")
                return 2
            await self.disrupt(fleet)
            self.stopped = True
            await asyncio.sleep(0.5)
        finally:
            await fleet.stop()
        self.note(f"{self.acked} writes acknowledged, {len(self.broken)} of "
                  "them were committed at a primary after its replacement")
        return 1 if self.broken else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder)
        try:
            status = await asyncio.wait_for(case.run(), 100)
        except (OSError, asyncio.TimeoutError) as error:
            case.note(f"could not run: {error!r}")
            status = 2
        if os.environ.get("KEEP"):
            os.system(f"cp -r {folder} {os.environ['KEEP']}")
        case.note(f"exit {status}")
        return status

sys.exit(asyncio.run(main()))
