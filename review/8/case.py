"""ONE: a holder that was cut off is named again and orders with its old token."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import world as stand_in  # noqa: E402
from load import Writers  # noqa: E402
from net import RelayedWorld  # noqa: E402
from ports import free_port  # noqa: E402
from world import CannotRun, main  # noqa: E402

# Hosts start again on their ports: none that an outgoing connection may get.
stand_in.free_port = free_port

GROUP = "repairs"
SETTINGS = {"promote_s": 0.6, "work_s": 0.011, "slots": 5, "max_conns": 55,
            "lag_s": 0.02}
ZONES = {"riga-a": "riga", "riga-b": "riga", "riga-c": "riga"}
# The longest cut of the site, and the pause between two stops of a roll.
CUT_S, GAP_S = 5.5, 1.3
DRAIN_S, RESTART_S = 7.0, 0.3


async def until(condition, at):
    """Waits for a condition until a time; returns whether it came."""
    while not condition():
        if time.monotonic() >= at:
            return False
        await asyncio.sleep(0.01)
    return True


async def stop_and_start(world, host):
    """A planned stop: SIGTERM, and the process starts again after its end."""
    world.record.say(f"SIGTERM to {host.name}")
    host.expected_end = True
    host.process.send_signal(signal.SIGTERM)
    await host.process.wait()
    await asyncio.sleep(RESTART_S)
    await host.start(False)
    world.record.say(f"{host.name} is started again")


async def replace(world, backend):
    """Planned work: the backend drains for as long as the pages say."""
    backend.state = "draining"
    world.record.say(f"{backend.name} drains")
    await asyncio.sleep(DRAIN_S)
    backend.state = "ready"


async def disturb(world, group, away):
    cut_at = time.monotonic()
    others = [h for h in world.hosts if h is not away]
    world.cut_off(away)
    first = group.leader()
    work = [asyncio.create_task(replace(world, first))]
    if not await until(lambda: group.leader() is not first, cut_at + CUT_S):
        raise CannotRun("no promotion took effect in the cut")
    stopping = world.holder(GROUP)
    work.append(asyncio.create_task(stop_and_start(world, stopping)))
    await asyncio.sleep(GAP_S)
    last = next(h for h in others if h is not stopping)
    work.append(asyncio.create_task(stop_and_start(world, last)))
    named = await until(lambda: world.holder(GROUP) is away, cut_at + CUT_S)
    world.record.say(f"{away.name} is named again: {named}")
    await asyncio.sleep(0.1)
    world.heal()
    world.record.say(f"the cut lasted {time.monotonic() - cut_at:.1f} s")
    await asyncio.gather(*work)


async def roll(world, group, away):
    """The same without the cut."""
    first = group.leader()
    work = [asyncio.create_task(replace(world, first))]
    await until(lambda: group.leader() is not first, time.monotonic() + CUT_S)
    for host in world.hosts:
        if host is not away:
            work.append(asyncio.create_task(stop_and_start(world, host)))
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*work)


async def case(trouble):
    world = RelayedWorld(HERE, {GROUP: SETTINGS}, hosts=3, zones=ZONES)
    try:
        group = world.groups[GROUP]
        for backend in group.backends:
            backend.zone = "riga-a"
        await world.start()
        writers = Writers(world, f"{GROUP}-primary", 3, pause_s=0.1)
        await asyncio.sleep(6)
        away = world.holder(GROUP)
        world.record.say(f"{away.name} holds the group")
        await (disturb if trouble else roll)(world, group, away)
        await asyncio.sleep(3)
        # Later, planned work again.
        await replace(world, group.leader())
        await asyncio.sleep(1)
        await writers.stop()
        late = [i for i in group.old_commits if i in writers.acked]
        world.record.say(f"{len(late)} writes were acknowledged that a "
                         "replaced primary committed")
        broken, highest = [], 0
        for _, ident, holder, token in group.orders:
            world.record.say(f"order {ident} holder={holder} token={token}")
            if token < highest:
                broken.append(f"{holder} ordered the promotion of {ident} "
                              f"with token {token} after one with {highest}")
            highest = max(highest, token)
        return broken
    finally:
        await world.stop()


if __name__ == "__main__":
    main(case)
