"""LOST: a replica without acknowledged commits is promoted.

The service has sync_replicas 1. One replica receives nothing for a while, and
the primary crashes meanwhile. The other replica, which has all acknowledged
commits, crashes soon after it and comes back with its log.
"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import world as stand_in  # noqa: E402
from load import Writers  # noqa: E402
from world import World, main  # noqa: E402

DATABASE = "repairs"
# One replica receives nothing for this long; the site has 6.5 s.
DEAF_S = 6.5
# The primary crashes meanwhile; the site has primaries down for 7.0 s.
CRASH_AFTER_S = 1.0
CRASHED_S = 7.0
# The other replica crashes as long after the primary; days of the sites have a
# replica down for up to 5.5 s.
REPLICA_AFTER_S = 0.5
REPLICA_DOWN_S = 5.4


class Backend(stand_in.Backend):
    """A backend that may receive nothing; a promotion ends that."""
    deaf_since = None

    def status(self):
        lag_ms = int((time.monotonic() - self.deaf_since) * 1000) \
            if self.deaf_since and self.role == "replica" else 0
        return (f"{self.role} {self.term} {self.position()} 0 {lag_ms} 0 "
                f"{len(self.conns)}")


class Group(stand_in.Group):
    async def deliver(self, source, target, entry):
        while target.deaf_since and target.role == "replica":
            await asyncio.sleep(0.01)
            if not source.alive:
                return False
        return await super().deliver(source, target, entry)


async def case(trouble):
    stand_in.Backend = Backend
    stand_in.Group = Group
    world = World(HERE, {DATABASE: {"sync": 1, "promote_s": 1.0}}, hosts=6,
                  sync_replicas=1)
    try:
        await world.start()
        group = world.groups[DATABASE]
        primary, near, far = group.backends
        assert group.leader() is primary
        writers = Writers(world, f"{DATABASE}-primary", 6)
        await asyncio.sleep(6)
        began = time.monotonic()
        events = [(0, f"{far.name} receives nothing"),
                  (CRASH_AFTER_S, f"{primary.name} crashes"),
                  (DEAF_S, f"{far.name} receives again"),
                  (CRASH_AFTER_S + CRASHED_S,
                   f"{primary.name} comes back")]
        if trouble:
            at = CRASH_AFTER_S + REPLICA_AFTER_S
            events += [(at, f"{near.name} crashes"),
                       (at + REPLICA_DOWN_S, f"{near.name} comes back")]
        for at, text in sorted(events):
            await asyncio.sleep(began + at - time.monotonic())
            backend = next(b for b in group.backends if text.startswith(b.name))
            world.record.say(text)
            if "nothing" in text:
                backend.deaf_since = time.monotonic()
            elif "again" in text:
                backend.deaf_since = None
            elif "crashes" in text:
                await backend.crash()
            else:
                await backend.come_back()
        await asyncio.sleep(4)
        await writers.stop()
        broken = []
        for at, target, log in group.promotions:
            missing = [i for i, acked in writers.acked.items()
                       if acked < at and i not in log]
            world.record.say(
                f"{target.name} was promoted {at - began:.1f} s after the "
                f"beginning; of {len(writers.acked)} acknowledged commits "
                f"{len(missing)} were not in its log")
            broken += [f"{i} was acknowledged and is not in the log of "
                       f"{target.name}, which was promoted"
                       for i in missing]
        return broken
    finally:
        await world.stop()


main(case)
