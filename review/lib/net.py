"""A network between the hosts and to the store that can cut off one host.

Hosts call each other through relays: the address in a host's registration is
that of its relay, as that of a machine behind a router is. Each host has an
address of the platform of its own.
"""
import asyncio
import base64
import json
import os

from world import World

HOST_KEYS = "kumquatbridge/host/"


def owns_port(pid, port):
    """Whether a process has a TCP connection from this local port."""
    inodes = set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            words = line.split()
            if int(words[1].split(":")[1], 16) == port:
                inodes.add(words[9])
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            link = os.readlink(f"/proc/{pid}/fd/{name}")
            if link.startswith("socket:[") and link[8:-1] in inodes:
                return True
    except OSError:
        pass
    return False


class Connection:
    """A relayed connection. Once it was cut, its bytes are lost for good."""

    def __init__(self, ends):
        # The names of the two hosts.
        self.ends = ends
        self.lost = False
        self.writers = []

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if self.lost and data:
                    continue
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.close()


class RelayedWorld(World):
    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.cut = set()
        self.relays = {}
        self.connections = []
        self.platform_ports = {}
        self.healed = asyncio.Event()

    async def start(self):
        for host in self.hosts:
            relay = await asyncio.start_server(
                lambda r, w, h=host: self.relay(h, r, w), "127.0.0.1", 0)
            self.relays[host.name] = relay.sockets[0].getsockname()[1]
            server = await asyncio.start_server(
                lambda r, w, h=host: self.platform(h, r, w), "127.0.0.1", 0)
            self.platform_ports[host.name] = \
                server.sockets[0].getsockname()[1]
            host.write_settings = self.settings_of(host)
        await super().start()

    def settings_of(self, host):
        """The host's settings, with its own address of the platform."""
        written = host.write_settings

        def write(first):
            path = written(first)
            with open(path, encoding="utf-8") as file:
                text = file.read()
            text = text.replace(f"127.0.0.1:{self.port}\n",
                                f"127.0.0.1:{self.platform_ports[host.name]}"
                                "\n")
            lines = []
            for line in text.split("\n"):
                if line.startswith("seeds"):
                    line = "seeds = " + ",".join(
                        f"127.0.0.1:{p}" for p in self.relays.values())
                lines.append(line)
            with open(path, "w", encoding="utf-8") as file:
                file.write("\n".join(lines))
            return path
        return write

    async def platform(self, host, reader, writer):
        if host.name in self.cut:
            await self.healed.wait()
            writer.close()
            return
        self.connections.append(Connection((host.name, "platform")))
        connection = self.connections[-1]
        connection.writers = [writer]
        await self.http(reader, CutWriter(self, host, connection, writer))

    async def request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n"))
        await writer.wait_uncut()
        await super().request(Again(head, reader, self), writer)

    async def relay(self, host, reader, writer):
        port = writer.get_extra_info("peername")[1]
        caller = next((h.name for h in self.hosts if h.is_running() and
                       owns_port(h.process.pid, port)), "?")
        if self.cut & {caller, host.name}:
            await self.healed.wait()
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", host.ports["control"])
        except OSError:
            writer.transport.abort()
            return
        connection = Connection((caller, host.name))
        connection.writers = [writer, far_writer]
        self.connections.append(connection)
        await asyncio.gather(connection.pump(reader, far_writer),
                             connection.pump(far_reader, writer))

    def cut_off(self, host):
        self.record.say(f"{host.name} is cut off")
        self.healed.clear()
        self.cut = {host.name}
        for connection in self.connections:
            connection.lost |= host.name in connection.ends

    def heal(self):
        self.record.say(f"{' '.join(self.cut)} is reached again")
        self.cut = set()
        self.healed.set()
        for connection in self.connections:
            for writer in connection.writers if connection.lost else ():
                writer.transport.abort()
        self.connections = [c for c in self.connections if not c.lost]


class Again:
    """A request whose head was read already."""

    def __init__(self, head, reader, world):
        self.head, self.reader, self.world = head, reader, world

    async def readuntil(self, _separator):
        return self.head

    async def readexactly(self, count):
        text = await self.reader.readexactly(count)
        body = json.loads(text)
        registered_at_relay(self.world, body)
        return json.dumps(body)


class CutWriter:
    """The platform's end of a connection: answers are lost while cut."""

    def __init__(self, world, host, connection, writer):
        self.world, self.host = world, host
        self.connection, self.writer = connection, writer

    async def wait_uncut(self):
        if self.connection.lost:
            await self.world.healed.wait()
            raise ConnectionError

    def write(self, data):
        if not self.connection.lost:
            self.writer.write(data)

    async def drain(self):
        if not self.connection.lost:
            await self.writer.drain()

    def close(self):
        self.writer.close()


def registered_at_relay(world, body):
    """Puts the relay's port into the registrations that are written."""
    for row in body.get("writes", ()):
        if row["key"].startswith(HOST_KEYS):
            value = json.loads(base64.b64decode(row["value"]))
            value["port"] = world.relays[value["name"]]
            row["value"] = base64.b64encode(
                json.dumps(value).encode()).decode()
