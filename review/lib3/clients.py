"""Clients: one session each, as PROTOCOL.md says."""
import asyncio
import itertools
import os

IDS = itertools.count(1)
TAG = os.getpid() & 0xffff


def new_id():
    return f"{TAG:04x}{next(IDS):012x}"


class Closed(Exception):
    pass


class Session:
    """A session; answers are (rows, end word, end fields, state, position)."""

    def __init__(self, ip, port, database):
        self.ip, self.port, self.database = ip, port, database

    async def open(self, timeout=2):
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.port, limit=1 << 22),
                timeout)
            self.writer.write(f"START {self.database} u1\r\n".encode())
            line = await asyncio.wait_for(self.line(), timeout)
        except (OSError, asyncio.TimeoutError) as error:
            raise Closed from error
        if not line.startswith("READY"):
            self.close()
            raise Closed

    async def line(self):
        try:
            return (await self.reader.readuntil(b"\r\n")).decode()[:-2]
        except (OSError, asyncio.IncompleteReadError) as error:
            raise Closed from error

    async def ask(self, text, ident=None, timeout=10):
        ident = ident or new_id()
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        rows, end = [], None
        while True:
            try:
                line = await asyncio.wait_for(self.line(), timeout)
            except asyncio.TimeoutError as error:
                self.close()
                raise Closed from error
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "READY":
                state, _, position = rest.partition(" ")
                return rows, end[0], end[1], state, position
            else:
                end = (word, rest)

    def close(self):
        try:
            self.writer.transport.abort()
        except AttributeError:
            pass
