"""An order to promote is held up in a cut and takes effect after another one."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))
import relay  # noqa: E402
import world as w  # noqa: E402

# Drained for as long as the pages say.
DRAIN_S = 7.0
# The cut ends this long after it has held up the order; its limit is 5.5 s.
HELD_S, CUT_MAX_S = 1.8, 5.5
# After the end of a cut the sender is not judged for this long.
THAW_S = 0.3
SLOW_LAG_S, FAST_LAG_S = 0.120, 0.005
# Which replica answers first is chance: the same is done again if need be.
ROUNDS = 5


async def write(world, host, acked, stop):
    """A client that writes; records what was acknowledged and when."""
    while not stop.is_set():
        session = w.Session(world, host, "g1-primary")
        try:
            await session.open()
            while not stop.is_set():
                ident = world.ident()
                error, _, _ = await session.ask(ident, "WRITE item x")
                if not error:
                    acked[ident] = time.monotonic()
                await asyncio.sleep(0.02)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            session.close()


async def replace_in_cut(world, group, relays):
    """Planned work, the primary is replaced, while its holder's machine is cut
    off from the platform. Returns when the cut ended."""
    holder, primary = world.holder("g1"), group.leader()
    world.record.add(f"STATE holder={holder.name} primary={primary.name}")
    replicas = sorted((b for b in group.backends if b is not primary),
                      key=lambda b: b.name)
    replicas[0].lag_s, replicas[1].lag_s = SLOW_LAG_S, FAST_LAG_S
    await asyncio.sleep(1)
    ends_at = began = time.monotonic()
    links = [relays[holder.name, kind] for kind in ("store", "api")]
    if w.TROUBLE:
        for link in links:
            link.holds_post.clear()
            await link.cut()
    replacing = asyncio.create_task(group.replace(primary, DRAIN_S))
    if w.TROUBLE:
        try:
            await asyncio.wait_for(links[1].holds_post.wait(),
                                   CUT_MAX_S - HELD_S)
            await asyncio.sleep(HELD_S)
        except asyncio.TimeoutError:
            pass
        for link in links:
            await link.heal()
        ends_at = time.monotonic()
        world.record.add(f"CUT lasted {ends_at - began:.1f} s")
    await replacing
    return ends_at


async def case(world):
    relays = {}

    async def prepare():
        for host in world.hosts:
            for kind in ("store", "api"):
                port = getattr(host, f"{kind}_port")
                new = await relay.Relay(f"{host.name} {kind}", port,
                                        world.record).start()
                setattr(host, f"{kind}_port", new.port)
                relays[host.name, kind] = new

    if not await world.start(hosts=3, prepare=prepare, lag_s=FAST_LAG_S):
        return w.NOT_RUN
    group = world.platform.groups["g1"]
    stale = {}

    def on_commit(backend, idents, leads):
        if not leads:
            stale.update((i, (time.monotonic(), backend.name))
                         for i in idents)
    group.listeners.append(on_commit)
    acked, stop = {}, asyncio.Event()
    tasks = [asyncio.create_task(write(world, h, acked, stop))
             for h in world.hosts for _ in range(3)]
    await asyncio.sleep(2)

    # Planned work, long before: the primary is replaced.
    await group.replace(group.leader(), DRAIN_S)
    await asyncio.sleep(2)
    rounds = 0
    found = None
    while rounds < ROUNDS and not found:
        rounds += 1
        healed_at = await replace_in_cut(world, group, relays)
        await asyncio.sleep(2)
        found = [i for i, (at, _) in stale.items()
                 if i in acked and at > healed_at + THAW_S]
    stop.set()
    await asyncio.wait(tasks, timeout=5)
    await asyncio.sleep(1)

    kept = {i for entry in group.leader().log for i in entry[2]}
    broken = [i for i, (at, _) in stale.items()
              if i in acked and at > healed_at + THAW_S]
    lost = [i for i in broken if i not in kept]
    for ident in broken:
        world.record.add(f"BROKEN write {ident} was committed at "
                         f"{stale[ident][1]} after a promote had taken effect "
                         f"and acknowledged"
                         f"{', and is lost' if ident in lost else ''}")
    world.record.add(f"RESULT rounds={rounds} acknowledged={len(acked)} "
                     f"broken={len(broken)} of these lost={len(lost)}")
    return w.BROKEN if broken else w.HELD


w.main(__file__, case)
