"""A network between hosts, and from hosts to the store, that can be split.

A host registers its address in the store; here the port that others read there
is that of a relay, as for a machine behind a router. Whose connection it is
tells the process that owns the other end.
"""
import asyncio
import json
import os

from store import Http

HOST_KEYS = "kumquatbridge/host"


def local_inode(port, peer_port):
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            words = line.split()
            if int(words[1].split(":")[1], 16) == port and \
                    int(words[2].split(":")[1], 16) == peer_port:
                return words[9]
    return None


def owns(pid, inode):
    try:
        return any(os.readlink(f"/proc/{pid}/fd/{name}") ==
                   f"socket:[{inode}]" for name in os.listdir(
                       f"/proc/{pid}/fd"))
    except OSError:
        return False


class Network:
    def __init__(self, fleet, store):
        self.fleet, self.store = fleet, store
        # The hosts of one side while it is split, and whether the store is
        # on the other side.
        self.side = set()
        self.links = []

    async def start(self):
        for host in self.fleet.hosts:
            server = await asyncio.start_server(
                lambda r, w, h=host: self.relay(h, r, w), host.ip, 0)
            host.door = server.sockets[0].getsockname()[1]
            port = await Http(
                lambda m, t, hd, b, h=host: self.call(h, m, t, b)
            ).start("127.0.0.1")
            host.store_address = f"127.0.0.1:{port}"
        put = self.store.put

        def put_with_door(key, value, lease=0):
            if key.startswith(HOST_KEYS):
                entry = json.loads(value)
                host = next(h for h in self.fleet.hosts
                            if h.name == entry["name"])
                entry["port"] = host.door
                value = json.dumps(entry).encode()
            put(key, value, lease)

        self.store.put = put_with_door

    def is_cut(self, a, b):
        return bool(self.side) and (a in self.side) != (b in self.side)

    async def call(self, host, method, target, body):
        while host in self.side:
            await asyncio.sleep(0.05)
        answer = await self.store.call(method, target, body)
        while host in self.side:
            await asyncio.sleep(0.05)
        return answer

    def find_peer(self, writer):
        port = writer.get_extra_info("peername")[1]
        inode = local_inode(port, writer.get_extra_info("sockname")[1])
        return next((h for h in self.fleet.hosts if h.process and
                     owns(h.process.pid, inode)), None)

    async def relay(self, host, reader, writer):
        source = self.find_peer(writer)
        try:
            while self.is_cut(source, host):
                await asyncio.sleep(0.05)
            other = await asyncio.open_connection(
                host.ip, self.fleet.ports["control"])
        except OSError:
            writer.transport.abort()
            return
        link = {"ends": (source, host), "lost": False}
        await asyncio.gather(self.pump(link, reader, other[1]),
                             self.pump(link, other[0], writer))

    async def pump(self, link, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if self.is_cut(*link["ends"]):
                    # Nothing passes any more, not even a reset.
                    link["lost"] = True
                while link["lost"] and self.is_cut(*link["ends"]):
                    await asyncio.sleep(0.05)
                if not data or link["lost"]:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.close()
