#!/usr/bin/env python3
"""Fault soak: daemons in front of stand-in targets; every answer is checked.

Starts hosts (processes of the daemon) on the loopback, runs callers of all
three consistency levels and injects faults in an order given by the seed.
Checks that no acknowledged write was lost or executed twice, that no write
reported as not executed took effect, that no write was acknowledged that a
replaced primary committed, and that every read included the writes
that its consistency level requires. Callers belong to teams; see keys.py.

Usage: soak.py DAEMON [--seconds N] [--seed N] [--hosts N] [--faults LIST]
"""
import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from callers import CALLERS, Caller, Records  # noqa: E402
from keys import BOUND_S, TEAMS, Keys  # noqa: E402
from lost_order import kill_as_ordered  # noqa: E402
from ports import free_port  # noqa: E402
from standin import Platform  # noqa: E402

# Two readers, each of which polls the store every 0.25 s at most.
POLLS_PER_S = 8
FAULTS = ["kill-host", "stop-host", "freeze-host", "kill-primary",
          "freeze-primary", "store-down", "store-restored", "kill-all",
          "config", "release-primary", "stop-promoter", "remove-key",
          "move-key", "turn-away", "kill-promoter", "late-order",
          "kill-as-ordered"]
SETTINGS = """[host]
name = {name}
data_centre = z1
region = r1
[listen]
sessions = 127.0.0.1:{sessions}
readiness = 127.0.0.1:{readiness}
metrics = 127.0.0.1:{metrics}
hosts = 127.0.0.1:{hosts}
[fleet]
first_start = {first}
[data_centres]
z1 = r1
[store]
address = 127.0.0.1:{store}
[orders]
address = 127.0.0.1:{store}
[drain]
grace = 6s
"""


class Host:
    """One process of the daemon."""

    def __init__(self, number, daemon, store_port, folder):
        self.name, self.daemon, self.folder = f"h{number}", daemon, folder
        self.ports = {p: free_port()
                      for p in ("sessions", "readiness", "metrics", "hosts")}
        self.store_port = store_port
        self.process = None

    async def start(self, first):
        path = os.path.join(self.folder, f"{self.name}.ini")
        with open(path, "w", encoding="ascii") as settings:
            settings.write(SETTINGS.format(
                name=self.name, first=str(first).lower(),
                store=self.store_port, **self.ports))
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.daemon, "--config", path, stdout=log, stderr=log)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class Soak:
    def __init__(self, options):
        self.options, self.seed = options, options.seed
        self.random = random.Random(options.seed)
        self.keys = None if options.no_teams else Keys(options.seed)
        self.platform = Platform(["ga", "gb"], self.keys)
        for group in self.platform.groups.values():
            if self.keys:
                group.on_statement = self.keys.reach
        self.records = Records()
        self.hosts = []
        # Each host's address of the platform.
        self.doors = []
        self.stopped = False
        self.idents = 0
        self.folder = tempfile.mkdtemp(prefix="soak-")

    async def restart(self, host, delay):
        await host.process.wait()
        await asyncio.sleep(delay)
        await host.start(False)

    async def release(self, group, primary):
        """Marks a primary as leaving until another one has taken over."""
        primary.state = "draining"
        until = time.monotonic() + 5
        while time.monotonic() < until and \
                group.newest_primary() is primary:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        primary.state = "ready"

    async def end_promoter(self, group, primary, number):
        """Signals the host that has ordered the promotion of another primary.

        The old primary is silent until the order and leads until it takes
        effect.
        """
        ordered = len(group.promoters)
        primary.running.clear()
        until = time.monotonic() + 5
        while time.monotonic() < until and len(group.promoters) == ordered:
            await asyncio.sleep(0.01)
        primary.running.set()
        if len(group.promoters) > ordered:
            host = next(h for h in self.hosts
                        if h.name == group.promoters[ordered])
            host.signal(number)
            await self.restart(host, 0.1)

    async def delay_order(self, group, primary):
        """The platform is late with an order, and with its answer.

        The target may be down for a part of that time.
        """
        delay = self.random.uniform(1.2, 4)
        down = self.random.uniform(0.2, delay) \
            if self.random.random() < 0.5 else 0
        group.order_delays = [delay]
        ordered = len(group.ordered)
        releasing = asyncio.create_task(self.release(group, primary))
        until = time.monotonic() + 5
        while time.monotonic() < until and len(group.ordered) == ordered:
            await asyncio.sleep(0.01)
        if len(group.ordered) > ordered and down:
            target = next(t for t in group.targets
                          if t.name == group.ordered[ordered])
            if group.alive[target.name]:
                await self.crash(group, target, down)
        await releasing
        group.order_delays = []

    async def crash(self, group, target, seconds):
        group.alive[target.name] = False
        await target.crash()
        await asyncio.sleep(seconds)
        group.alive[target.name] = True
        await target.start()

    def disturbance(self):
        return self.keys.disturbance() if self.keys else \
            contextlib.nullcontext()

    async def fault_of_hosts(self, name, host):
        """A host, or all, cannot learn of changes."""
        if name == "freeze-host":
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 3))
            host.signal(signal.SIGCONT)
        elif name == "store-down":
            self.platform.store.down = True
            await asyncio.sleep(self.random.uniform(1, 6))
            self.platform.store.down = False
        elif name == "store-restored":
            self.platform.store.down = True
            await asyncio.sleep(self.random.uniform(0.2, 3))
            self.platform.store.restore(self.random.uniform(0, 9))
            self.platform.store.down = False

    async def fault_of_keys(self, name):
        """Takes a key away or moves it, and gives it back later.

        In `turn-away`, half of the hosts cannot read the store meanwhile.
        """
        if not self.keys:
            return
        doors = self.random.sample(self.doors, len(self.doors) // 2) \
            if name == "turn-away" else []
        for door in doors:
            door.busy = True
        key = self.random.choice(self.keys.names())
        team = self.keys.team(key)
        others = [t for t in TEAMS if t != team]
        self.give_key(key, self.random.choice(others)
                      if name == "move-key" else None)
        await asyncio.sleep(BOUND_S + 2)
        self.give_key(key, team)
        await asyncio.sleep(self.random.uniform(0, 3))
        for door in doors:
            door.busy = False

    def give_key(self, key, team):
        self.keys.give(key, team)
        self.platform.configure(int(time.time() * 1000))

    async def fault(self, name):
        host = self.random.choice(self.hosts)
        group = self.random.choice(list(self.platform.groups.values()))
        primary = max(group.targets,
                      key=lambda t: (t.role == "primary", t.term))
        print(f"fault {name} host={host.name} primary={primary.name}",
              flush=True)
        if name in ("freeze-host", "store-down", "store-restored"):
            with self.disturbance():
                await self.fault_of_hosts(name, host)
        elif name in ("remove-key", "move-key", "turn-away"):
            await self.fault_of_keys(name)
        elif name == "kill-host":
            host.signal(signal.SIGKILL)
            await self.restart(host, 0.5)
        elif name == "stop-host":
            host.signal(signal.SIGTERM)
            await self.restart(host, 0.5)
        elif name == "kill-primary":
            await self.crash(group, primary, 4)
        elif name == "freeze-primary":
            primary.running.clear()
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            primary.running.set()
        elif name == "release-primary":
            await self.release(group, primary)
        elif name == "stop-promoter":
            await self.end_promoter(group, primary, signal.SIGTERM)
        elif name == "kill-promoter":
            await self.end_promoter(group, primary, signal.SIGKILL)
        elif name == "late-order":
            await self.delay_order(group, primary)
        elif name == "kill-as-ordered":
            await kill_as_ordered(self, group, primary)
        elif name == "kill-all":
            for each in self.hosts:
                each.signal(signal.SIGKILL)
            await asyncio.gather(*(self.restart(h, 0.5) for h in self.hosts))
        elif name == "config":
            self.platform.configure(int(time.time() * 1000))

    async def run(self):
        started = time.monotonic()
        await self.platform.start()
        self.doors = [await self.platform.open_door()
                      for _ in range(self.options.hosts)]
        self.hosts = [Host(i, self.options.daemon, door.port, self.folder)
                      for i, door in enumerate(self.doors)]
        await asyncio.gather(*(h.start(True) for h in self.hosts))
        await asyncio.sleep(3)
        callers = [Caller(self, i, group, kind) for i, (group, kind) in
                   enumerate((g, k) for g in self.platform.groups for k in
                             ("primary", "bounded_staleness",
                              "read_your_writes") for _ in range(CALLERS))]
        if self.keys:
            callers += [Caller(self, len(callers) + i, "ga", "primary", key)
                        for i, key in enumerate(("", self.keys.unknown))]
        tasks = [asyncio.create_task(c.run()) for c in callers]
        self.records.last_write = time.monotonic()
        until = time.monotonic() + self.options.seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            if self.options.faults:
                await self.fault(self.random.choice(self.options.faults))
        await asyncio.sleep(4)
        await self.check_service()
        self.records.violations += [
            f"{h.name} ended by itself, status {h.process.returncode}"
            for h in self.hosts if h.process.returncode is not None]
        self.stopped = True
        await asyncio.wait(tasks, timeout=15)
        self.store_calls = self.platform.store.calls
        self.store_polls = self.platform.store.calls_by_path["kv-watch"]
        self.ran_for = time.monotonic() - started
        for host in self.hosts:
            host.signal(signal.SIGTERM)
        await asyncio.gather(*(h.process.wait() for h in self.hosts))
        return self.report()

    async def check_service(self):
        before = sum(len(a) for a in self.records.acked.values())
        await asyncio.sleep(3)
        after = sum(len(a) for a in self.records.acked.values())
        if after <= before:
            self.records.violations.append(
                "no write was acknowledged after the faults")

    def check_writes(self):
        for name, group in self.platform.groups.items():
            leader = max(group.targets,
                         key=lambda t: (t.role == "primary", t.term))
            executed = [i for e in leader.log for i in e[2]]
            if len(executed) != len(set(executed)):
                self.records.violations.append(
                    f"a write of {name} was executed twice")
            lost = set(self.records.acked.get(name, {})) - set(executed) \
                - group.rolled_back
            if lost:
                self.records.violations.append(
                    f"{len(lost)} acknowledged writes of {name} were lost")
            replaced = set(self.records.acked.get(name, {})) \
                & group.replaced_commits
            if replaced:
                self.records.violations.append(
                    f"{len(replaced)} acknowledged writes of {name} were "
                    f"committed at a replaced primary, such as "
                    f"{sorted(replaced)[0]}")
            unexpected = self.records.not_executed.get(name, set()) \
                & set(executed)
            if unexpected:
                self.records.violations.append(
                    f"{len(unexpected)} writes of {name} were executed though "
                    f"reported as not executed, such as "
                    f"{sorted(unexpected)[0]}")
            if group.tokens != sorted(group.tokens):
                self.records.violations.append(
                    f"a fencing token of {name} decreased")

    def check_keys(self):
        for host in self.hosts:
            path = os.path.join(self.folder, f"{host.name}.log")
            with open(path, encoding="utf-8", errors="replace") as log:
                self.keys.check_log(path, log.read())
        self.records.violations += self.keys.violations
        for what in sorted(self.keys.counts):
            print(f"{what}: {self.keys.counts[what]}")

    def report(self):
        self.check_writes()
        if self.keys:
            self.check_keys()
        for what in sorted(self.records.counts):
            print(f"{what}: {self.records.counts[what]}")
        for name, group in self.platform.groups.items():
            print(f"{name}: promotions {group.promotions}, rolled back "
                  f"{len(group.rolled_back)}")
        calls = self.store_calls
        budget = self.options.store_budget * self.options.hosts
        print(f"store calls {calls:.1f}, {calls / self.options.hosts:.1f} a "
              f"host, longest time without an acknowledged write "
              f"{self.records.longest_gap:.1f} s")
        print("store calls by path, with the stop: " + ", ".join(
            f"{name} {count:.1f}" for name, count in
            sorted(self.platform.store.calls_by_path.items())))
        others = calls - self.store_polls
        if budget and others > budget:
            self.records.violations.append(
                f"{others:.1f} store calls besides polls, {budget:.1f} are "
                "allowed")
        polls = POLLS_PER_S * self.ran_for
        if budget and self.store_polls > polls:
            self.records.violations.append(
                f"{self.store_polls:.1f} polls of the store, {polls:.1f} are "
                "allowed")
        for violation in self.records.violations[:20]:
            print(f"VIOLATION {violation}")
        print(f"logs are in {self.folder}" if self.records.violations
              else "no violation found")
        return 1 if self.records.violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("daemon")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--faults", type=lambda t: t.split(","),
                        default=FAULTS, help="names, or none")
    parser.add_argument("--no-teams", action="store_true",
                        help="a configuration without teams and keys")
    parser.add_argument("--store-budget", type=float, default=0,
                        help="largest number of store calls a host, without the "
                             "polls of the two readers")
    options = parser.parse_args()
    if options.faults == ["none"]:
        options.faults = []
    unknown = set(options.faults) - set(FAULTS)
    if unknown:
        parser.error(f"unknown fault {sorted(unknown)[0]}; known: "
                     + ", ".join(FAULTS))
    sys.exit(asyncio.run(Soak(options).run()))


if __name__ == "__main__":
    main()
