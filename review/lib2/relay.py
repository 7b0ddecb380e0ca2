"""A relay between one host and an address of the platform that can be cut.

While it is cut, new connections hang, since their opening packets are dropped,
and bytes of open ones are held up. Held bytes are sent again when TCP would do
so: 0.2 s after they were first sent, then after a pause that doubles each time.
Bytes of a connection that the host has reset are lost; those of one that it has
closed are not.
"""
import asyncio
import socket
import time

import world as w

FIRST_RESEND_S = 0.2


class Relay:
    def __init__(self, name, port, record):
        self.name, self.target, self.record = name, port, record
        self.port = w.free_port()
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self.socket = None
        self.fillers = []
        self.task = None
        self.served = set()
        # Set once bytes of the host are held up that begin with a POST.
        self.holds_post = asyncio.Event()

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((w.ADDRESS, self.port))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self.task = asyncio.create_task(self._accept())
        return self

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self.socket)
            task = asyncio.create_task(self._serve(conn))
            self.served.add(task)
            task.add_done_callback(self.served.discard)

    async def cut(self):
        """Cuts the link without a reset."""
        self.task.cancel()
        await asyncio.sleep(0)
        self.is_cut = True
        self.healed.clear()
        # A full queue of new connections drops their opening packets.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect((w.ADDRESS, self.port))
            except BlockingIOError:
                pass
            self.fillers.append(filler)
        await asyncio.sleep(0.01)
        self.record.add(f"CUT of {self.name} begins")

    async def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.is_cut = False
        self.healed.set()
        self.task = asyncio.create_task(self._accept())
        self.record.add(f"CUT of {self.name} ends")

    async def _pass(self, sent_at):
        """Waits until bytes that were sent at `sent_at` get through."""
        pause = FIRST_RESEND_S
        was_cut = self.is_cut
        at = sent_at
        while self.is_cut or time.monotonic() < at:
            while at <= time.monotonic():
                at += pause
                pause *= 2
            await asyncio.sleep(max(at - time.monotonic(), 0.001))
        return was_cut

    async def _serve(self, conn):
        reader, writer = await asyncio.open_connection(sock=conn)
        try:
            there_reader, there_writer = await asyncio.open_connection(
                w.ADDRESS, self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, there_writer, "to the platform"),
            self._copy(there_reader, writer, "back"))

    async def _copy(self, reader, writer, what):
        try:
            while True:
                data = await reader.read(1 << 16)
                if self.is_cut and data.startswith(b"POST "):
                    self.record.add(f"HELD UP by the cut of {self.name}: "
                                    f"{data[:20]!r}")
                    self.holds_post.set()
                held = await self._pass(time.monotonic())
                if held and data:
                    self.record.add(
                        f"HELD UP bytes of {self.name} {what} get through: "
                        f"{data[:40]!r}")
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # Reset: what was held up is lost.
            writer.transport.abort()
            return
        if writer.can_write_eof():
            try:
                writer.write_eof()
            except OSError:
                pass
        await asyncio.sleep(1)
        writer.close()
