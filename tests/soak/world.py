# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""The deployment of a soak: real daemons, stand-ins around them, proxies between."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import time

from cold import RATE
from placement import CHOICES, ONE_REGION
from proxy import Proxy
from replicas import MODEL, Origin, Replica
from sizes import ENGINE, KINDS, SLOTS, BatchEngine
from store import Store

HOST = "127.0.0.1"
ZONES = ("north", "south")
CONFIG_KEY = "config"
OPERATORS = "keyed.op"
BACK_AFTER = 2.0  # seconds
CRASHES = (-signal.SIGABRT, -signal.SIGSEGV, -signal.SIGBUS, -signal.SIGILL, -signal.SIGFPE)
BOUNDS = {"drainMs": 2000, "stopSeconds": 8, "addressLifetimeSeconds": 5, "weightsMs": 8000,
          "retryWindowSeconds": 10, "retryRatio": 0.2, "retryExtra": 100}


class Process:
    """One box's daemon, over all its lives. Ended only by its own id."""

    def __init__(self, program, folder, settings):
        self.program = program
        self.settings = settings
        self.path = os.path.join(folder, settings["box"] + ".json")
        self.log = open(os.path.join(folder, settings["box"] + ".log"), "ab")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.child = None
        self.is_frozen = False
        self.disturbed_at = 0.0  # last time that a fault was on it
        self.disturbances = []  # all such times
        self.stopping_since = None
        self.broken_promises = []

    @property
    def box(self):
        return self.settings["box"]

    def start(self):
        self.child = subprocess.Popen([self.program, "--config", self.path], stdout=self.log,
                                      stderr=self.log, stdin=subprocess.DEVNULL)
        self.stopping_since = None
        self._note_disturbance()

    def _note_disturbance(self):
        self.disturbed_at = time.monotonic()
        self.disturbances.append(self.disturbed_at)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)
            self._note_disturbance()

    def terminate(self):
        if self.is_running() and self.stopping_since is None:
            self.signal(signal.SIGTERM)
            self.stopping_since = time.monotonic()

    def note_resumed(self):
        """It runs again after a suspension, and has its whole time to stop from now on."""
        self.is_frozen = False
        if self.stopping_since is not None:
            self.stopping_since = time.monotonic()

    def keep_alive(self):
        """Starts it again when it ended, as the platform does; says how it ended."""
        if self.is_running():
            overdue = (self.stopping_since is not None and not self.is_frozen
                       and time.monotonic() - self.stopping_since > BOUNDS["stopSeconds"] + 2)
            if overdue:
                self.broken_promises.append(f"STOP: {self.box} outlived its time to stop")
                self.signal(signal.SIGKILL)
            return
        code = self.child.returncode
        if code in CRASHES or (code != 0 and code != -signal.SIGKILL):
            self.broken_promises.append(f"CRASH: {self.box} ended with {code}")
        self.start()

    def end(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
        self.log.close()


class World:
    """Everything of one soak. `base` is the first of the ports that it uses."""

    def __init__(self, program, folder, rng, region_rng, base, gateways, engines, has_sizes=False):
        self.program = program
        self.folder = folder
        self.rng = rng
        self.base = base
        self.runs = []
        self.broke_off = set()  # requests whose answers replicas cut on their own
        self.store = Store(rng)
        self.origin = Origin(rng)
        self.replicas = []
        self.replica_proxies = {}
        self.store_proxies = {}
        self.processes = []
        self.gateway_count = gateways
        self.engine_count = engines
        self.has_sizes = has_sizes  # engines work in passes, requests have sizes
        self.runners = []
        self.configs = []  # (version, time of acceptance)
        self.region_rng = region_rng
        self.regions = []  # (time of acceptance, allowed regions by (kind, account))
        self.named = []  # (weights' version, time of acceptance)
        self.accounts = {"acc-a": "key-a", "acc-b": "key-b"}

    def port(self):
        """The next port that no other program on the machine listens at."""
        while True:
            self.base += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, self.base))
                    return self.base
                except OSError:
                    continue

    async def start(self):
        store_port = self.port()
        self.runners.append(await self.store.serve(HOST, store_port))
        origin_port = self.port()
        self.runners.append(await self.origin.serve(HOST, origin_port))
        self.origin_address = f"{HOST}:{origin_port}"
        for index in range(self.engine_count):
            await self.add_replica("engine-svc", ZONES[index % 2], True)
        for index in range(3):
            await self.add_replica("plain-svc", ZONES[index % 2], False)
        self.configure()
        peers = [f"{HOST}:{self.port()}" for _ in range(self.gateway_count)]
        for index in range(self.gateway_count):
            await self._add_gateway(index, peers, store_port)
        for replica in [one for one in self.replicas if one.is_engine]:
            await self._add_stager(replica, peers, store_port)
        for process in self.processes:
            process.start()

    async def add_replica(self, service, zone, is_engine):
        inner, outer = self.port(), self.port()
        replica = Replica(self.store, self.runs, self.broke_off, self.rng, service, zone,
                          (HOST, outer), is_engine)
        proxy = Proxy((HOST, inner), spares_local=True)
        await proxy.start(HOST, outer)
        self.runners.append(await replica.serve(HOST, inner))
        self.replicas.append(replica)
        self.replica_proxies[replica] = proxy
        replica.on_crashing = self.end_replica
        if self.has_sizes and is_engine:
            replica.batch = BatchEngine()
            replica.slots = SLOTS
        replica.record()
        return replica

    async def _store_proxy(self, box, store_port):
        proxy = Proxy((HOST, store_port))
        port = self.port()
        await proxy.start(HOST, port)
        self.store_proxies[box] = proxy
        return f"{HOST}:{port}"

    async def _add_gateway(self, index, peers, store_port):
        box = f"gateway-{index}"
        settings = {"role": "gateway", "box": box, "dataCentre": ZONES[index % 2],
                    "region": ZONES[index % 2], "regions": {zone: zone for zone in ZONES},
                    "peers": peers[index], "seeds": peers[:3],
                    "store": await self._store_proxy(box, store_port), "bounds": BOUNDS,
                    "gateway": {"callers": f"{HOST}:{self.port()}",
                                "readiness": f"{HOST}:{self.port()}",
                                "addresses": f"{HOST}:{self.port()}"}}
        self.processes.append(Process(self.program, self.folder, settings))

    async def _add_stager(self, replica, peers, store_port):
        box = f"stager-{replica.address[1]}"
        settings = {"role": "stager", "box": box, "dataCentre": replica.zone,
                    "region": replica.zone, "peers": f"{HOST}:{self.port()}", "seeds": peers[:3],
                    "store": await self._store_proxy(box, store_port),
                    "bounds": {"weightsMs": BOUNDS["weightsMs"], "stopSeconds": BOUNDS["stopSeconds"]},
                    "stager": {"service": "engine-svc",
                               "engine": f"{replica.address[0]}:{replica.address[1]}",
                               "linkMbit": 100}}
        self.processes.append(Process(self.program, self.folder, settings))

    async def end_replica(self, replica):
        """Ends it as a process that crashes; it is back after a while."""
        proxy = self.replica_proxies[replica]
        replica.crash()
        proxy.end()
        await asyncio.sleep(BACK_AFTER)
        await proxy.listen()
        replica.restart()

    def gateways(self):
        return [one for one in self.processes if one.settings["role"] == "gateway"]

    def configure(self, binds=False):
        """A new version; each has one route that no other has, to tell them apart. If `binds`, the
        route "safe" is bound to one region."""
        engine = {"slots": 8, "step_ms": 5, "per_seq_ms": 0.1, "context_per_k": 0.01,
                  "read_per_s": 100000, "stride": 2, "kv_capacity": 100000, "layers": 1,
                  "usual": {"prompt": 100, "answer": 30}}
        version = (self.configs[-1][0] if self.configs else 0) + self.rng.randint(1, 3)
        common = {"host": "soak.example", "max_attempts": 2, "goal_ms": 400, "priority": 1}
        plain = {**common, "service": "plain-svc", "timeout_ms": 1500}
        safe_regions = self.region_rng.choice(ONE_REGION if binds else CHOICES)
        account_regions = self.region_rng.choice(CHOICES)
        streams = KINDS if self.has_sizes else ("stream",)
        config = {
            "version": version,
            "routes": [
                *({**common, "name": kind, "path_prefix": f"/{kind}/", "kind": "stream",
                   "timeout_ms": 6000, "service": "engine-svc", "resumable": True, "sticky": True,
                   "gap_aim_ms": 300} for kind in streams),
                {**plain, "name": "once", "path_prefix": "/once/", "kind": "unsafe"},
                {**plain, "name": "safe", "path_prefix": "/safe/", "kind": "safe",
                 "allowed_regions": safe_regions},
                {**plain, "name": "mark", "path_prefix": f"/mark-{version}/", "kind": "safe"}],
            "services": [
                {"name": "engine-svc", "max_conns": 200, "cold_per_s": RATE,
                 "engine": {**(ENGINE if self.has_sizes else engine), "models": [{"name": MODEL}]}},
                {"name": "plain-svc", "max_conns": 200, "cold_per_s": RATE},
                {"name": "origin-svc", "origin": self.origin_address, "link_mbps": 50}],
            "tenants": [{"name": name, "api_keys": [key],
                         "allowed_regions": account_regions if name == "acc-b" else []}
                        for name, key in self.accounts.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 10000}}
        at = self.store.write(OPERATORS, CONFIG_KEY, json.dumps(config).encode())
        self.configs.append((version, at))
        self.regions.append((at, self._binding(safe_regions, account_regions)))

    def _binding(self, safe_regions, account_regions):
        """The regions that may serve each (kind, account) that a list binds."""
        found = {}
        for kind in ("stream", "once", "safe"):
            for account in self.accounts:
                lists = [safe_regions if kind == "safe" else [],
                         account_regions if account == "acc-b" else []]
                lists = [one for one in lists if one]
                if lists:
                    found[(kind, account)] = set.intersection(*map(set, lists))
        return found

    def name_weights(self):
        version = (self.named[-1][0] if self.named else 1) + 1
        record = json.dumps({"model": MODEL, "version": version}).encode()
        self.named.append((version, self.store.write(OPERATORS, f"version/{MODEL}", record)))

    async def stop(self):
        for process in self.processes:
            process.end()
        for proxy in [*self.replica_proxies.values(), *self.store_proxies.values()]:
            proxy.end()
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))
