"""Stand-in for the platform's store with conditional writes and leases."""
import asyncio
import base64
import time
from urllib.parse import parse_qs, unquote, urlsplit


# How far back the store can be restored.
COPIES_S = 30
# What the operator and the targets wrote; after a restore they write it again.
WRITTEN_AGAIN = ("op/", "servers/")


class Store:
    """A key-value store with conditional writes, leases and long polls.

    It can be restored from an older copy of itself: what hosts wrote since is
    lost, and the revisions are given out again.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.events = []
        # Lowest revision from which a watch may continue.
        self.history_start = 0
        # Number of restores; part of every answer.
        self.era = 1
        # Former states, oldest first: time, items, revision and lease ids.
        self.copies = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.down = False
        self.calls = 0
        # Calls by path, for the report.
        self.calls_by_path = {}

    def record_event(self, key, item):
        event = dict(item) if item else {
            "key": key, "revision": self.revision, "deleted": True}
        self.events.append((self.revision, key, event))
        self.keep_copy()
        self.changed.set()
        self.changed = asyncio.Event()

    def keep_copy(self):
        now = time.monotonic()
        self.copies = [c for c in self.copies if c[0] > now - COPIES_S]
        self.copies.append((now, dict(self.items), self.revision,
                            set(self.leases)))

    def restore(self, age):
        """Comes back from the copy of `age` seconds ago, in a new era."""
        at = time.monotonic() - age
        copies = [c for c in self.copies if c[0] <= at]
        _, items, revision, leases = (copies or self.copies)[-1 if copies
                                                             else 0]
        written = {k: i for k, i in self.items.items()
                   if k.startswith(WRITTEN_AGAIN)}
        self.items = {k: i for k, i in items.items()
                      if not i["lease"] or i["lease"] in self.leases}
        self.leases = {n: t for n, t in self.leases.items() if n in leases}
        self.revision = self.history_start = revision
        self.events = []
        self.era += 1
        for key, item in written.items():
            if self.items.get(key) != item:
                self.put(key, base64.b64decode(item["value"]), item["lease"])
        for key in [k for k in self.items
                    if k.startswith(WRITTEN_AGAIN) and k not in written]:
            self.remove(key)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "created": created, "lease": lease}
        self.record_event(key, self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record_event(key, None)

    def expire(self):
        now = time.monotonic()
        for lease, (ttl, until) in list(self.leases.items()):
            if until < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            if not self.history_start <= after <= self.revision:
                return 410, {}
            found = [e for r, k, e in self.events
                     if r > after and k.startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        for row in body["expect"]:
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {"items": []}
        for row in body["writes"]:
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
        for row in body["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def serve(self, method, path, body):
        # A stale read and the renewal of a lease cost a tenth of a call.
        cheap = "stale_ok=1" in path or path.startswith("/v1/kv-keep/")
        cost = 0.1 if cheap else 1
        name = path.split("?")[0].split("/")[2]
        self.calls += cost
        self.calls_by_path[name] = self.calls_by_path.get(name, 0) + cost
        if self.down:
            return 503, {}
        self.expire()
        url = urlsplit(path)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/kv-range":
            prefix = query.get("prefix", "")
            items = [i for k, i in sorted(self.items.items())
                     if k.startswith(prefix) and k > query.get("after", "")]
            return 200, {"items": items[:500], "has_more": len(items) > 500,
                         "current_rev": self.revision}
        if url.path == "/v1/kv-watch":
            return await self.watch(
                query.get("prefix", ""), int(query["after"]),
                int(query["wait_ms"]) / 1000)
        if url.path == "/v1/kv-txn":
            return self.txn(body)
        if url.path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_ms"]
            self.leases[self.next_lease] = (
                ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(unquote(url.path.rsplit("/", 1)[1]))
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"ttl_ms": ttl}
