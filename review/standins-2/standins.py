"""Stand-ins of the platform, of replicas and of clients, and a small deployment of real processes.

Only the standard library is used, and only loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import shutil
import struct
import subprocess
import tempfile
import time
import traceback

HOST = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "src", "loomjunctiond", "loomjunctiond")
MAX_PLAY_S = 110.0
# Bounds of the site file bbpp-exams.
BOUNDS = {"drainMs": 2000, "stopSeconds": 8, "addressLifetimeSeconds": 5, "weightsMs": 8000,
          "configMs": 2000, "retryWindowSeconds": 10, "retryRatio": 0.2, "retryExtra": 100}


def free_port(used=set()):
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        if port in used:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        used.add(port)
        return port


class Message:
    """One HTTP/1.1 request or answer."""

    def __init__(self, first, headers, body=b""):
        self.first = first.split(" ", 2)
        self.headers = headers  # (name, value) in order
        self.body = body

    def header(self, name, otherwise=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return otherwise

    @property
    def target(self):
        return self.first[1]

    @property
    def status(self):
        return int(self.first[1])

    def query(self, name, otherwise=None):
        parts = self.target.split("?", 1)
        for pair in parts[1].split("&") if len(parts) > 1 else []:
            key, _, value = pair.partition("=")
            if key == name:
                return value
        return otherwise


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in text[1:] if line]
    return Message(text[0], headers)


async def read_request(reader):
    request = await read_head(reader)
    length = int(request.header("Content-Length", "0"))
    request.body = await reader.readexactly(length) if length else b""
    return request


def answer_bytes(status, headers=(), body=b"", length=True):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if length:
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


def reset(writer):
    """Ends a connection as a crash with unread bytes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A raw HTTP/1.1 server; `handle(request, writer)` writes the whole answer."""

    def __init__(self, port=0):
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 24)

    def end(self, by_reset=True):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if by_reset:
                reset(writer)
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
                await writer.drain()
                if writer.is_closing():
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, RuntimeError):
            pass  # the connection or this deployment has ended
        finally:
            self.writers.discard(writer)
            writer.close()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.grown = asyncio.Event()

    def append(self, key, value):
        self.records.append((key, value))
        if value:
            self.newest[key] = (len(self.records) - 1, value)
        else:
            self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()


class Store(Server):
    """The platform's store: keyed topics as the pages say, never in trouble."""

    def __init__(self):
        super().__init__()
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def write(self, topic, key, value):
        data = None if value is None else json.dumps(value).encode()
        self.topic(topic).append(key, data)
        return time.monotonic()

    async def handle(self, request, writer):
        path = request.target.split("?")[0]
        topic = self.topic(request.query("topic", ""))
        kind = [("Content-Type", "application/json"), ("Store-Era", "1")]
        if path == "/log-append":
            offset, body = len(topic.records), request.body
            while body:
                (size,) = struct.unpack(">I", body[:4])
                record, body = body[4:4 + size], body[4 + size:]
                topic.append(record[1:1 + record[0]].decode(), record[1 + record[0]:])
            told = {"offset": offset, "end": len(topic.records)}
            writer.write(answer_bytes(200, kind, json.dumps(told).encode()))
        elif path == "/log-newest":
            items = [{"tls_key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in sorted(topic.newest.items())]
            told = {"items": items, "more": False, "end": len(topic.records)}
            writer.write(answer_bytes(200, kind, json.dumps(told).encode()))
        elif path == "/log-read":
            start = int(request.query("from"))
            until = time.monotonic() + int(request.query("wait_ms", "0")) / 1000
            while start == len(topic.records) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(topic.grown.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            body = struct.pack(">QQ", len(topic.records), 0)
            for key, value in topic.records[start:]:
                name = key.encode()
                body += struct.pack(">IB", 1 + len(name) + len(value or b""), len(name))
                body += name + (value or b"")
            writer.write(answer_bytes(200, [("Store-Era", "1")], body))
        else:
            writer.write(answer_bytes(404, kind, b"{}"))


class Process:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, folder, settings):
        self.settings = settings
        self.path = os.path.join(folder, settings["box"] + ".json")
        self.log_path = os.path.join(folder, settings["box"] + ".log")
        self.child = None
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([PROGRAM, "--config", self.path], stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, cwd=ROOT)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def end(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Deployment:
    """Gateways (and stagers) as processes beside a store."""

    def __init__(self, zones=("north", "south")):
        self.folder = tempfile.mkdtemp(prefix="loom-review-")
        self.zones = zones
        self.store = Store()
        self.gateways = []
        self.stagers = []
        self.others = []  # further servers, ended with the deployment

    def plan_gateways(self, count, memory_mb=260, descriptors=4200):
        peers = [f"{HOST}:{free_port()}" for _ in range(count)]
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            settings = {"role": "gateway", "box": f"gateway-{index}", "dataCentre": zone,
                        "region": zone, "regions": {one: one for one in self.zones},
                        "peers": peers[index], "seeds": peers[:3], "store": self.store.address,
                        "machine": {"memoryMb": memory_mb, "descriptors": descriptors},
                        "bounds": BOUNDS, "losses": {"dataCentres": 0, "regions": 0},
                        "gateway": {"callers": f"{HOST}:{free_port()}",
                                    "readiness": f"{HOST}:{free_port()}",
                                    "addresses": f"{HOST}:{free_port()}"}}
            self.gateways.append(Process(self.folder, settings))

    def plan_stager(self, engine, service, zone):
        settings = {"role": "stager", "box": f"stager-{engine.port}", "dataCentre": zone,
                    "region": zone, "peers": f"{HOST}:{free_port()}",
                    "seeds": [one.settings["peers"] for one in self.gateways[:3]],
                    "store": self.store.address,
                    "machine": {"memoryMb": 128, "descriptors": 2048},
                    "bounds": {"weightsMs": BOUNDS["weightsMs"], "configMs": BOUNDS["configMs"],
                               "stopSeconds": BOUNDS["stopSeconds"]},
                    "stager": {"service": service, "engine": engine.address, "linkMbit": 9.4}}
        self.stagers.append(Process(self.folder, settings))

    async def start(self):
        await self.store.listen()
        for process in [*self.gateways, *self.stagers]:
            process.start()
        await self.wait_ready()

    async def wait_ready(self, timeout=15.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all([await self.is_ready(one) for one in self.gateways]):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the gateways are not ready")

    async def is_ready(self, gateway):
        try:
            answer = await ask(gateway.settings["gateway"]["readiness"], "GET", "/ready", [])
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def end(self):
        for process in [*self.gateways, *self.stagers]:
            process.end()
        for server in [self.store, *self.others]:
            server.end()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_answer(reader, method="GET"):
    """Reads a whole answer; raises IncompleteReadError if it is cut."""
    answer = await read_head(reader)
    if method == "HEAD" or answer.status in (204, 304):
        return answer
    if "chunked" in answer.header("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return answer
            answer.body += piece[:-2]
    if answer.header("Content-Length"):
        answer.body = await reader.readexactly(int(answer.header("Content-Length")))
    else:
        answer.body = await reader.read()
    return answer


async def ask(address, method, target, headers, body=b"", timeout=10.0):
    """One request on a connection of its own."""
    host, port = address.split(":")
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, int(port), limit=1 << 24), 1.0)
    try:
        text = f"{method} {target} HTTP/1.1\r\n"
        names = [name.lower() for name, _ in headers]
        if "host" not in names:
            text += f"Host: {address}\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        if body or method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        return await asyncio.wait_for(read_answer(reader, method), timeout)
    finally:
        writer.close()


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


def run_case(play, path):
    """Plays a case and returns its exit code; 2 if it couldn't run, or was interrupted.

    A signal or the end of its time cancels the play, which then ends all that it started.
    """
    record = Record(path)

    async def limited():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(record), MAX_PLAY_S)
        finally:
            await asyncio.sleep(0.05)  # what was cancelled ends

    try:
        return asyncio.run(limited())
    except (Exception, asyncio.CancelledError):
        record("the case couldn't run to its end")
        traceback.print_exc()
        return 2
