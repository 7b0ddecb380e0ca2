"""A fault: all hosts are killed as an order to promote is accepted."""
import asyncio
import signal
import time

# Longest time until a silent primary is to be replaced.
ORDER_S = 5


async def kill_as_ordered(soak, group, primary):
    """Only processes know the order, as the store is down, and all end.

    The primary is silent until the order is accepted. It leads on until the
    order takes effect, or for as long as the platform is late with it.
    """
    ordered = len(group.ordered)
    soak.platform.store.down = True
    primary.running.clear()
    until = time.monotonic() + ORDER_S
    while time.monotonic() < until and len(group.ordered) == ordered:
        await asyncio.sleep(0.002)
    if len(group.ordered) > ordered:
        await asyncio.sleep(soak.random.uniform(0, 0.02))
        for host in soak.hosts:
            host.signal(signal.SIGKILL)
    soak.platform.store.down = False
    primary.running.set()
    if len(group.ordered) > ordered:
        pause = soak.random.uniform(0.05, 0.4)
        await asyncio.gather(*(soak.restart(h, pause) for h in soak.hosts))
