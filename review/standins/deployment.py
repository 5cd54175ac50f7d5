"""A small deployment on loopback: the project's own gateways and stagers as processes, started
with the commands of the deploy file, and the stand-ins around them."""

import asyncio
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from engine import HEARTBEAT, piece
from http1 import answer, head_bytes, read_head, serve
from store import OPERATORS, SERVERS, Store

HOST = "127.0.0.1"
HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE, MODEL, ROUTE_HOST, KEY = "scorer", "model-0", "review.example", "key-of-tenant-0"
DESK, DESK_REPLICAS = "desk", 3  # a plain service
BOUNDS = {"drainMs": 2000, "stopSeconds": 8, "addressLifetimeSeconds": 5, "weightsMs": 8000,
          "configMs": 2000, "retryWindowSeconds": 10, "retryRatio": 0.2, "retryExtra": 100}
ENGINE = {"slots": 16, "kv_capacity": 685000, "kv_token_bytes": 327680, "link_mbps": 400000.0,
          "stride": 6, "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
          "mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203,
          "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048, "report_lag_ms": 200.0,
          "usual": {"prompt": 973, "answer": 106}, "layers": 16, "layer_mb": 4540.0,
          "act_bytes": 16384, "chunks": 48, "chunk_bytes": 49152}


def commands():
    """The commands of the deploy file, by class of machines."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {role["on"]: role["run"].split() for role in roles.values()}


def end_cleanly_on_sigterm():
    """Lets the script's `finally` blocks end what it started."""

    def leave(*_):
        sys.exit(2)

    signal.signal(signal.SIGTERM, leave)


class Desk:
    """A replica of a plain service that never fails."""

    SLOTS = 16

    def __init__(self, name, work):
        self.id = name
        self.work = work  # seconds
        self.runs = {}  # time at which it began to work on each request
        self.running = 0

    async def handle(self, request):
        name = request.headers.get("loomjunction-request-id", "")
        told = {"Loomjunction-Request-Id": name, "Loomjunction-Instance-Id": self.id}
        wanted = request.headers.get("loomjunction-target-instance", self.id)
        if wanted != self.id or self.running >= self.SLOTS:
            status = 421 if wanted != self.id else 503
            await answer(request, status, {**told, "Loomjunction-Not-Executed": "1"})
            return
        self.runs[name] = time.monotonic()
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        await answer(request, 200, {**told, "Loomjunction-Response-Signature":
                                    f"{self.id}.{name}"}, f"done {name}".encode())


class Deployment:
    def __init__(self, folder, gateways, engines, engine_settings=None, desk_work=0.03):
        self.folder = folder
        self.store = Store()
        self.gateway_count = gateways
        self.engine_count = engines
        self.engine_settings = engine_settings or {}
        self.gateways = []  # (name, process, callers' address)
        self.stagers = []  # (name, process)
        self.engines = []  # (settings, process)
        self.processes = []
        self.ports = set()
        self.version = 1
        self.servers = []
        self.desk = [Desk(f"d-{index:010x}", desk_work) for index in range(DESK_REPLICAS)]

    def port(self):
        """A free port that was not given out before."""
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in self.ports:
                self.ports.add(port)
                return port

    def address(self):
        return f"{HOST}:{self.port()}"

    def _start(self, command, log):
        with open(os.path.join(self.folder, log), "ab") as out:
            process = subprocess.Popen(command, stdout=out, stderr=out, stdin=subprocess.DEVNULL,
                                       cwd=ROOT)
        self.processes.append(process)
        return process

    def _start_daemon(self, machine_class, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        command = [path if word.startswith("/etc/") else word
                   for word in commands()[machine_class]]
        return self._start(command, name + ".log")

    async def start(self):
        self.store_address = await self.store.serve(HOST)
        server, port = await serve(self._origin, HOST, 0)
        self.servers.append(server)
        self.origin_address = f"{HOST}:{port}"
        self.configure()
        for index, desk in enumerate(self.desk):
            server, port = await serve(desk.handle, HOST, 0)
            self.servers.append(server)
            entry = {"service": DESK, "address": f"{HOST}:{port}", "zone": ZONES[index % 3],
                     "version": "v1", "slots": Desk.SLOTS, "state": "ready", "cold_left_ms": 0}
            self.servers.append(asyncio.ensure_future(self._beat(desk.id, entry)))
        for index in range(self.engine_count):
            self._start_engine(index)
        for settings, _ in self.engines:
            while not os.path.exists(settings["ready"]):
                await asyncio.sleep(0.02)
        peers = [self.address() for _ in range(self.gateway_count)]
        for index in range(self.gateway_count):
            self._start_gateway(index, peers)
        for index in range(self.engine_count):
            self._start_stager(index, peers)

    def _start_engine(self, index):
        base = os.path.join(self.folder, f"engine-{index}")
        settings = {"id": f"i-{index:010x}", "service": SERVICE, "zone": ZONES[index % 3],
                    "address": self.address(), "store": self.store_address, "model": MODEL,
                    "layers": 16, "chunks": 48, "chunk_bytes": 49152, "slots": 16,
                    "event_ms": 50, "warm_ms": 300, "stage": base + ".stage",
                    "record": base + ".record", "ready": base + ".ready", **self.engine_settings}
        with open(base + ".json", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        command = [sys.executable, os.path.join(HERE, "engine.py"), base + ".json"]
        self.engines.append((settings, self._start(command, f"engine-{index}.log")))

    def _common(self, name, index, role, peers):
        zone = ZONES[index % 3]
        return {"role": role, "box": name, "dataCentre": zone, "region": zone, "seeds": peers[:3],
                "store": self.store_address, "metrics": self.address()}

    def _start_gateway(self, index, peers):
        name, callers = f"gateway-{index}", self.address()
        settings = {**self._common(name, index, "gateway", peers), "peers": peers[index],
                    "regions": {zone: zone for zone in ZONES}, "bounds": BOUNDS,
                    "losses": {"dataCentres": 0, "regions": 0},
                    "gateway": {"callers": callers, "readiness": self.address(),
                                "addresses": self.address()}}
        process = self._start_daemon("front", name, settings)
        self.gateways.append((name, process, callers, settings))

    def _start_stager(self, index, peers):
        name, engine = f"stager-{index}", self.engines[index][0]
        bounds = {key: BOUNDS[key] for key in ("weightsMs", "configMs", "stopSeconds")}
        settings = {**self._common(name, index, "stager", peers), "peers": self.address(),
                    "bounds": bounds, "stager": {"service": SERVICE, "engine": engine["address"],
                                                 "linkMbit": 9.4}}
        self.stagers.append((name, self._start_daemon("side", name, settings)))

    async def _beat(self, name, entry):
        for count in range(1, 1000):
            self.store.write(SERVERS, name, {**entry, "sequence": count})
            await asyncio.sleep(HEARTBEAT)

    def configure(self):
        """Writes the configuration, as the operator does."""
        desk_route = {"name": "r-desk", "host": ROUTE_HOST, "path_prefix": "/desk/",
                      "kind": "unsafe", "timeout_ms": 800, "goal_ms": 150, "priority": 2,
                      "service": DESK, "max_attempts": 1, "public": False}
        route = {"name": "r-score", "host": ROUTE_HOST, "path_prefix": "/score/", "kind": "stream",
                 "timeout_ms": 6000, "goal_ms": 400, "priority": 1, "service": SERVICE,
                 "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
                 "gap_aim_ms": 300}
        self.store.write(OPERATORS, "config", {
            "version": 3, "routes": [route, desk_route],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 424,
                          "protocol": "h1", "tls": False, "engine": ENGINE},
                         {"name": DESK, "health_path": "/healthz", "max_conns": 96,
                          "protocol": "h1", "tls": False},
                         {"name": "origin", "origin": self.origin_address, "zone": ZONES[0],
                          "link_mbps": 15.0, "max_conns": 48}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-0", "api_keys": [KEY], "priority": 1}]})

    def name_version(self, version):
        """Names new weights, as the operator does; returns when the store confirmed it."""
        self.version = version
        self.store.write(OPERATORS, f"version/{MODEL}", {"model": MODEL, "version": version})
        return time.monotonic()

    async def _origin(self, request):
        version = int(request.query.get("version", self.version))
        settings = self.engines[0][0]
        size = settings["chunk_bytes"]
        if request.path.startswith("/manifest/"):
            digests = [hashlib.sha256(piece(MODEL, version, index, size)).hexdigest()
                       for index in range(settings["chunks"])]
            told = {"model": MODEL, "version": version, "chunk_bytes": size, "layers": 16,
                    "digests": digests}
            await answer(request, 200, {"Content-Type": "application/json"},
                         json.dumps(told).encode())
        else:
            await answer(request, 200, {}, piece(MODEL, version, int(request.query["n"]), size))

    async def wait_ready(self, seconds=15):
        """Waits until all gateways say that they are ready."""
        until = time.monotonic() + seconds
        for _, _, _, settings in self.gateways:
            while time.monotonic() < until:
                if await is_ready(settings["gateway"]["readiness"]):
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        return True

    def write_runs(self, record):
        """Adds what the replicas ran, as they noted it."""
        for settings, _ in self.engines:
            if os.path.exists(settings["record"]):
                with open(settings["record"], encoding="utf-8") as file:
                    record.write(f"noted by replica {settings['id']}:\n" + file.read())
        for desk in self.desk:
            record.write(f"run by replica {desk.id}:\n" + "\n".join(desk.runs) + "\n")

    def stop(self):
        """Ends all that was started here, by its id."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


async def is_ready(address):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head_bytes("GET /ready HTTP/1.1", {"Host": address}))
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return head is not None and head[0].split(" ")[1] == "200"
    except (OSError, asyncio.TimeoutError):
        return False
