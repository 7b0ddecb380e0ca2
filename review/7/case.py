"""A former primary is promoted though it lacks all of a later term."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))
import world as w  # noqa: E402

PARTITION_S, FORMER_DOWN_S, LATER_DOWN_S = 3.0, 7.0, 5.0


async def write(world, host, acked, stop):
    while not stop.is_set():
        session = w.Session(world, host, "g1-primary")
        try:
            await session.open()
            while not stop.is_set():
                ident = world.ident()
                error, _, _ = await session.ask(ident, "WRITE item x")
                if not error:
                    acked[ident] = time.monotonic()
                await asyncio.sleep(0.04)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            session.close()


async def read(world, host, reads, stop):
    """Reads on a primary route; records each with its place in the log."""
    while not stop.is_set():
        session = w.Session(world, host, "g1-primary")
        try:
            await session.open()
            while not stop.is_set():
                ident, began = world.ident(), time.monotonic()
                error, signature, _ = await session.ask(ident, "READ item")
                if not error:
                    name, point, _ = signature.split("/")
                    term, number = (int(n) for n in point.split("."))
                    reads.append((ident, began, name, (term, number)))
                await asyncio.sleep(0.04)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            session.close()


async def crash(world, backend, seconds):
    world.record.add(f"CRASH {backend.name}")
    await backend.crash()
    await asyncio.sleep(seconds)
    await backend.start()
    # It comes back with its log, as a replica if another was promoted.
    if backend is not backend.group.leader():
        backend.role = "replica"
    world.record.add(f"BACK {backend.name} {backend.role} {backend.spell()}")


async def case(world):
    if not await world.start(hosts=3):
        return w.NOT_RUN
    group = world.platform.groups["g1"]
    places = {}

    def on_commit(backend, idents, leads):
        for ident in idents:
            places[ident] = backend.position()
    group.listeners.append(on_commit)
    acked, reads, stop = {}, [], asyncio.Event()
    tasks = [asyncio.create_task(job(world, h, seen, stop))
             for h in world.hosts
             for job, seen in ((write, acked), (read, reads))]
    await asyncio.sleep(3)
    if w.TROUBLE:
        first = group.leader()
        group.partitioned = first
        world.record.add(f"PARTITION of {first.name} from its replicas")
        await asyncio.sleep(PARTITION_S)
        back = asyncio.create_task(crash(world, first, FORMER_DOWN_S))
        await asyncio.sleep(0.1)
        group.partitioned = None
        await asyncio.sleep(FORMER_DOWN_S - 0.5)
        others = sorted((b for b in group.backends if b is not first),
                        key=lambda b: b.role == "primary")
        later = [asyncio.create_task(crash(world, b, LATER_DOWN_S))
                 for b in others]
        await asyncio.gather(back, *later)
    await asyncio.sleep(4)
    stop.set()
    await asyncio.wait(tasks, timeout=5)

    kept = {i for entry in group.leader().log for i in entry[2]}
    # Commits that a promote rolled back don't count.
    counted = [(at, places[i], i) for i, at in acked.items() if i in kept]
    stale = []
    for ident, began, name, point in reads:
        missing = [i for at, place, i in counted
                   if at < began and not includes(group, point, place)]
        if missing:
            stale.append(ident)
            world.record.add(f"STALE read {ident} at {name} "
                             f"{point[0]}.{point[1]} lacks {len(missing)} "
                             f"commits such as {missing[0]} "
                             f"{'%d.%d' % places[missing[0]]}")
    undone = len(set(acked) - kept)
    world.record.add(f"RESULT reads={len(reads)} stale={len(stale)} "
                     f"acknowledged={len(acked)} rolled back={undone}")
    return w.BROKEN if stale else w.HELD


def includes(group, point, place):
    """Whether the log that ended at `point` included the commit at `place`."""
    if place[0] == point[0]:
        return place[1] <= point[1]
    # The log of a later term goes on from where the promoted one stood.
    start = {term: number for _, _, term, number in group.promotions}
    return place[0] < point[0] and all(
        place[1] <= start[term] for term in range(place[0] + 1, point[0] + 1)
        if term in start)


w.main(__file__, case)
