"""Callers that write all the time and keep what was acknowledged."""
import asyncio
import time

from world import Client, new_id


class Writers:
    """Sessions that write through all hosts in turn, one write at a time."""

    def __init__(self, world, database, count, pause_s=0.02):
        self.world, self.database, self.pause_s = world, database, pause_s
        # Time of the acknowledgement by the id of the write.
        self.acked = {}
        self.stopping = False
        self.tasks = [asyncio.create_task(self.run(i)) for i in range(count)]

    async def run(self, number):
        turn = number
        while not self.stopping:
            turn += 1
            host = self.world.hosts[turn % len(self.world.hosts)]
            client = Client(self.world, host, self.database)
            try:
                await client.open()
                await self.write(client, number)
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
            client.close()
            await asyncio.sleep(0.1)

    async def write(self, client, number):
        """Writes until an error; the session is then opened elsewhere."""
        while not self.stopping:
            ident = new_id()
            answer = await client.query(f"WRITE item{number} {ident}", ident)
            if not answer.ok:
                return
            self.acked[ident] = time.monotonic()
            await asyncio.sleep(self.pause_s)

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self.tasks)
