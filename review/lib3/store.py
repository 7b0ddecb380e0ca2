"""Stand-in of the platform's metadata store and of POST /promotion.

It speaks what PROTOCOL.md says. Time is the real clock. All state is in this
process; `down` makes the store refuse every call with 503, and `lapse` lets
entries of backends and leases run out meanwhile.
"""
import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, urlsplit

HEARTBEAT_S = 1.2
PAGE = 500


class Store:
    def __init__(self):
        self.items = {}
        self.revision = 100
        self.events = []
        self.leases = {}
        self.ids = itertools.count(1)
        self.changed = asyncio.Event()
        self.down = False
        # Called with the key and value of each write.
        self.on_write = lambda key, value: None

    def bump(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.bump()
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease}
        self.events.append(dict(self.items[key]))
        self.on_write(key, value)

    def remove(self, key):
        if key not in self.items:
            return
        self.bump()
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision,
                            "deleted": True})

    def expire(self):
        now = time.monotonic()
        for lease in [i for i, (end, _) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items()
                        if i["lease"] == lease]:
                self.remove(key)

    def txn(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]]
                                       for r in body["expect"]
                                       if r["key"] in self.items]}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]),
                     write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix = query.get("prefix", [""])[0]
        after = int(query["after"][0])
        until = time.monotonic() + int(query["wait_ms"][0]) / 1000
        while True:
            if self.down:
                return 503, {}
            events = [e for e in self.events if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass

    def lease(self, path, method, body):
        if method == "POST" and path == "/v1/kv-lease":
            lease = next(self.ids)
            self.leases[lease] = (time.monotonic() + body["ttl_ms"] / 1000,
                                  body["ttl_ms"])
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.leases[lease] = (0, 0)
            self.expire()
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"lease": lease, "ttl_ms": ttl}

    async def call(self, method, target, body):
        url = urlsplit(target)
        query = parse_qs(url.query, keep_blank_values=True)
        if self.down:
            return 503, {}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"][0])
            return (200, {**item, "current_rev": self.revision}) if item \
                else (404, {"current_rev": self.revision})
        if url.path == "/v1/kv-range":
            prefix = query.get("prefix", [""])[0]
            after = query.get("after", [""])[0]
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:PAGE]],
                         "has_more": len(keys) > PAGE,
                         "current_rev": self.revision}
        if url.path == "/v1/kv-watch":
            return await self.watch(query)
        if url.path == "/v1/kv-txn":
            return self.txn(body)
        if url.path.startswith("/v1/kv-"):
            return self.lease(url.path, method, body)
        return 404, {}


class Http:
    """Serves calls of hosts; `handle(method, target, headers, body)`."""

    def __init__(self, handle):
        self.handle = handle

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(line.lower().split(": ", 1)
                               for line in lines[1:] if line)
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) \
                    if size else {}
                status, answer = await self.handle(method, target, headers,
                                                   body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()
