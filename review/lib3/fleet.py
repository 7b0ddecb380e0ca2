"""Starts hosts with the deploy file's command and the settings template."""
import asyncio
import json
import os
import re
import signal
import socket
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))


def free_port(ips):
    """A port that is free on all of these addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips:
                with socket.socket() as other:
                    other.bind((ip, port))
            return port
        except OSError:
            continue


def render(template, fields):
    """The template language of DEPLOY.md, as far as this template uses it."""
    def value(name):
        at = fields
        for part in name.split("."):
            at = at[int(part)] if isinstance(at, list) else at.get(part)
            if at is None:
                return None
        return at

    def text(found):
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(map(str, found))
        return json.dumps(found) if isinstance(found, dict) else str(found)

    def section(match):
        found = value(match.group(1))
        if isinstance(found, dict):
            return "".join(match.group(2).replace("{{@}}", k)
                           .replace("{{.}}", text(v))
                           for k, v in found.items())
        return match.group(2) if found else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                      flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(value(m.group(1))),
                  template)


class Host:
    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.71.{fleet.net}.{number}"
        self.process = None
        self.starts = 0
        # The port at which other hosts reach it, if not its own.
        self.door = 0
        # Its own address of the store, if it has one.
        self.store_address = ""

    async def start(self, bootstrap):
        fleet = self.fleet
        ports = fleet.ports
        fields = {
            "node_name": self.name, "zone": self.zone,
            "region": fleet.zones[self.zone], "ip": self.ip,
            "zones": fleet.zones,
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "listen_addrs": {
                "front": f"{self.ip}:{ports['front']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
                "control": f"{self.ip}:{ports['control']}"},
            "internal_ports": [ports["internal"], ports["internal"]],
            "seeds": [f"{h.ip}:{h.door or ports['control']}"
                      for h in fleet.hosts[:3]],
            "bootstrap": bootstrap,
            "platform": {"address": self.store_address or
                         fleet.store_address},
            "cloud_api": {"address": fleet.cloud_address},
            "bounds": {"grace_s": 6}}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as deploy:
            role = tomllib.load(deploy)["roles"]["host"]
        with open(os.path.join(ROOT, role["template"])) as template:
            text = render(template.read(), fields)
        path = os.path.join(fleet.folder, f"{self.name}.conf")
        with open(path, "w") as settings:
            settings.write(text)
        words = [path if w.startswith("/etc/") else w
                 for w in role["run"].split()]
        self.starts += 1
        log = open(os.path.join(fleet.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": "/",
                 "KUMQUATBRIDGE_SETTINGS": path})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Fleet:
    def __init__(self, folder, zones, store_address, cloud_address):
        self.folder, self.zones = folder, zones
        self.store_address, self.cloud_address = store_address, cloud_address
        self.hosts = []
        self.net = os.getpid() % 200 + 1
        self.ports = {}

    def add(self, zone):
        self.hosts.append(Host(self, len(self.hosts) + 1, zone))

    def choose_ports(self):
        ips = [h.ip for h in self.hosts]
        for name in ("front", "readiness", "control", "internal"):
            self.ports[name] = free_port(ips)

    async def start(self):
        if not self.ports:
            self.choose_ports()
        for host in self.hosts:
            await host.start(True)

    async def ready(self, host):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                host.ip, self.ports["readiness"]), 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        for _ in range(int(seconds / 0.2)):
            if all([await self.ready(h) for h in self.hosts]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process:
                await host.process.wait()
