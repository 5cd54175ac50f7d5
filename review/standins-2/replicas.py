"""Stand-ins of replicas: a plain service, and an engine of a language model with staged weights."""

import asyncio
import hashlib
import json
import time

from standins import Server, answer_bytes

SERVERS = "keyed.servers"
OPERATORS = "keyed.op"
MODEL = "model0"
CHUNKS = 6
CHUNK_BYTES = 4096


def chunk(version, index):
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def digest(data):
    return hashlib.sha256(data).hexdigest()


class Replica(Server):
    """A replica over all its lives. `runs` gets (time, request id, replica id) of what began."""

    def __init__(self, store, service, zone, runs, slots=8):
        super().__init__()
        self.store = store
        self.service = service
        self.zone = zone
        self.runs = runs
        self.slots = slots
        self.life = 0
        self.running = 0
        self.draining = False

    @property
    def id(self):
        return f"{self.service}-{self.port}-{self.life}"

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0, "sequence": 1}

    def record(self):
        return self.store.write(SERVERS, self.id, self.entry())

    def remove(self):
        return self.store.write(SERVERS, self.id, None)

    async def start(self):
        await self.listen()
        self.record()

    def crash(self):
        """The process ends; its entry stays until it lapses or the next life begins."""
        self.end()

    async def restart(self):
        self.remove()
        self.life += 1
        self.running = 0
        await self.start()

    def common(self, request):
        return [("Loomjunction-Request-Id", request.header("Loomjunction-Request-Id"))]

    def signature(self, request):
        name = request.header("Loomjunction-Request-Id")
        return [("Loomjunction-Response-Signature", f"{self.id}/{name}")]

    def refusal(self, request):
        wanted = request.header("Loomjunction-Target-Instance")
        if wanted and wanted != self.id:
            return 421
        return 503 if self.running >= self.slots else 0

    async def handle(self, request, writer):
        if request.target.startswith("/healthz"):
            writer.write(answer_bytes(503 if self.draining else 200,
                                      [("Loomjunction-Instance-Id", self.id)]))
            return
        status = self.refusal(request)
        if status:
            told = [*self.common(request), ("Loomjunction-Instance-Id", self.id),
                    ("Loomjunction-Not-Executed", "1")]
            writer.write(answer_bytes(status, told))
            return
        name = request.header("Loomjunction-Request-Id")
        self.runs.append((time.monotonic(), name, self.id))
        self.running += 1
        life = self.life
        try:
            await self.work(request, writer)
        finally:
            if life == self.life:
                self.running -= 1

    async def work(self, request, writer):
        await asyncio.sleep(0.01)
        name = request.header("Loomjunction-Request-Id")
        body = f"{name}:{digest(request.body)}".encode()
        writer.write(answer_bytes(200, [*self.common(request), *self.signature(request)], body))


class Engine(Replica):
    """An engine that streams events and loads staged weights."""

    def __init__(self, store, service, zone, runs, slots=8):
        super().__init__(store, service, zone, runs, slots)
        self.weights = 1
        self.busy = False
        self.orders = 0
        self.stage = {index: chunk(1, index) for index in range(CHUNKS)}
        self.ordered = []  # (time, version, whether the stage was right)

    def weights_told(self):
        held = self.weights > 0
        return {"stage": "hybrid",
                "models": [{"name": MODEL, "version": self.weights, "adapters": []}] if held else [],
                "layers": [{"from": 0, "target_version": 1, "version": self.weights}] if held else []}

    def entry(self):
        return {**super().entry(), **self.weights_told()}

    async def restart(self):
        self.weights = 0
        self.busy = False
        self.orders = 0
        await super().restart()

    def refusal(self, request):
        if self.weights == 0 or self.busy:
            return 421
        expected = request.header("Expect-Version")
        if expected and int(expected) != self.weights:
            return 421
        return super().refusal(request)

    async def handle(self, request, writer):
        path = request.target.split("?")[0]
        kind = [("Content-Type", "application/json")]
        if path == "/report":
            told = {"busy": self.busy, "sequence": self.orders, "waiting": 0,
                    "running": self.running, "kv_used": 0, "kv_total": 100000, "handles": 0,
                    **self.weights_told()}
            writer.write(answer_bytes(200, kind, json.dumps(told).encode()))
        elif path.startswith("/stage-put/"):
            self.stage[int(request.query("n"))] = request.body
            writer.write(answer_bytes(200))
        elif path.startswith("/stage-get/"):
            if request.query("n") is None:
                writer.write(answer_bytes(200, kind, json.dumps({"held": sorted(self.stage)}).encode()))
            else:
                data = self.stage.get(int(request.query("n")))
                writer.write(answer_bytes(404 if data is None else 200, (), data or b""))
        elif path == "/order":
            writer.write(answer_bytes(self.order(json.loads(request.body))))
        else:
            await super().handle(request, writer)

    def order(self, order):
        if self.busy or order.get("expected_rev", self.orders) != self.orders:
            return 409
        version = order["version"]
        if self.weights == version:
            return 200
        self.orders += 1
        self.busy = True
        right = all(self.stage.get(index) == chunk(version, index) for index in range(CHUNKS))
        self.ordered.append((time.monotonic(), version, right))
        asyncio.ensure_future(self.load(version, self.life))
        return 202

    async def load(self, version, life):
        while self.running and life == self.life:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        if life == self.life:
            self.weights = version
            self.busy = False
            self.record()

    async def work(self, request, writer):
        name = request.header("Loomjunction-Request-Id")
        total = int(request.query("events", "10"))
        gap = int(request.query("gap", "30")) / 1000
        first = int(request.header("Last-Event-Id", "0")) + 1
        head = [*self.common(request), *self.signature(request), ("Versions", str(self.weights)),
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(answer_bytes(200, head, length=False))
        for event in range(first, total + 1):
            await asyncio.sleep(gap)
            text = f"id: {event}\ndata: {name}/{event}/{total}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            if writer.is_closing():
                return
        writer.write(b"0\r\n\r\n")


class Origin(Server):
    """Where weights come from."""

    async def handle(self, request, writer):
        path = request.target.split("?")[0]
        version = int(request.query("version", "1"))
        if path.startswith("/manifest/"):
            told = {"model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES, "layers": 1,
                    "digests": [digest(chunk(version, index)) for index in range(CHUNKS)]}
            writer.write(answer_bytes(200, [("Content-Type", "application/json")],
                                      json.dumps(told).encode()))
        elif path.startswith("/piece/"):
            writer.write(answer_bytes(200, (), chunk(version, int(request.query("n")))))
        else:
            writer.write(answer_bytes(404))


def configuration(version, origin, timeout_ms=6000, attempts=2):
    """A configuration with a resumable stream route and two plain ones."""
    common = {"host": "review.example", "max_attempts": attempts, "goal_ms": 400, "priority": 1}
    engine = {"slots": 16, "step_ms": 7.4, "per_seq_ms": 0.04, "context_per_k": 0.01,
              "read_per_s": 31900, "stride": 2, "kv_capacity": 685000, "layers": 1,
              "usual": {"prompt": 1000, "answer": 100}, "models": [{"name": MODEL}]}
    return {
        "version": version,
        "routes": [
            {**common, "name": "stream", "path_prefix": "/stream/", "kind": "stream",
             "service": "engine-svc", "timeout_ms": timeout_ms, "resumable": True, "sticky": True,
             "gap_aim_ms": 300},
            {**common, "name": "once", "path_prefix": "/once/", "kind": "unsafe",
             "service": "plain-svc", "timeout_ms": timeout_ms},
            {**common, "name": "safe", "path_prefix": "/safe/", "kind": "safe",
             "service": "plain-svc", "timeout_ms": timeout_ms}],
        "services": [
            {"name": "engine-svc", "max_conns": 424, "health_path": "/healthz", "engine": engine},
            {"name": "plain-svc", "max_conns": 96, "health_path": "/healthz"},
            {"name": "origin-svc", "origin": origin.address, "link_mbps": 15.0}],
        "tenants": [{"name": "tenant-a", "api_keys": ["key-a"]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 10000}}


def request_headers(name, budget_ms=6000, stream=False, parts=None):
    headers = [("Host", "review.example"), ("Loomjunction-Request-Id", name),
               ("Authorization", "Token key-a"), ("Loomjunction-Deadline-Ms", str(budget_ms))]
    if stream:
        headers += [("Loomjunction-Model", MODEL), ("Loomjunction-Token-Usage", "1000,60"),
                    ("Loomjunction-Prompt-Prefix",
                     parts or f"a0:40,b1:900,{abs(hash(name)):x}:60")]
    return headers
