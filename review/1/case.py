"""ONE: the holder is killed while a promotion that it ordered is open."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from load import Writers  # noqa: E402
from world import World, main  # noqa: E402

DATABASE = "repairs"
# "1,000 ms a promote".
PROMOTE_S = 1.0
# The primary is dark for this long; days of the site have 7 s.
DARK_S = 1.9
# The holder is killed this long after its order, and starts again after that.
KILL_AFTER_S = 0.1
RESTART_AFTER_S = 0.5
# bounds.thaw_slack_ms: commits so soon after the darkness do not count.
THAW_SLACK_S = 0.3


class Trouble:
    def __init__(self, world, group):
        self.world, self.group = world, group
        self.lit_at = None
        self.tasks = []
        self.order = group.promote
        group.promote = self.on_order

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def darken(self, backend):
        self.world.record.say(f"{backend.name} goes dark")
        backend.in_reach.clear()
        await asyncio.sleep(DARK_S)
        backend.in_reach.set()
        self.lit_at = time.monotonic()
        self.world.record.say(f"{backend.name} is back")

    def on_order(self, ident, holder, token):
        status = self.order(ident, holder, token)
        if len(self.group.orders) == 1:
            self.spawn(self.kill(holder))
        return status

    async def kill(self, name):
        host = next(h for h in self.world.hosts if h.name == name)
        await asyncio.sleep(KILL_AFTER_S)
        await host.kill()
        self.world.record.say(f"{name} is killed")
        await asyncio.sleep(RESTART_AFTER_S)
        await host.start(False)
        self.world.record.say(f"{name} starts again")


async def case(trouble):
    world = World(HERE, {DATABASE: {"promote_s": PROMOTE_S}}, hosts=6)
    try:
        await world.start()
        group = world.groups[DATABASE]
        writers = Writers(world, f"{DATABASE}-primary", 6)
        await asyncio.sleep(6)
        events = Trouble(world, group)
        if trouble:
            events.spawn(events.darken(group.leader()))
        await asyncio.sleep(9)
        await writers.stop()
        # Commits at the old primary after the promotion had taken effect.
        late = {i: at for i, at in group.old_commits.items()
                if i in writers.acked and
                at > (events.lit_at or 0) + THAW_SLACK_S}
        lost = [i for i in late
                if not any(w[2] == i for e in group.leader().log
                           for w in e[2])]
        world.record.say(
            f"{len(writers.acked)} writes acknowledged, {len(late)} of them "
            f"committed at the replaced primary, {len(lost)} lost")
        return [f"{i} was committed at the replaced primary "
                f"{at - group.effect_at:.3f} s after the promotion took "
                f"effect, and acknowledged"
                for i, at in late.items()]
    finally:
        await world.stop()


main(case)
