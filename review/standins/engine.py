"""A model replica in a process of its own, as PROTOCOL.md describes it.

  engine.py SETTINGS      a JSON file: id, service, zone, store, model, layers, chunks, slots,
                          event_ms, warm_ms, stage (a folder), record (a file), ready (a file)

It serves streams on its address, takes orders, and keeps what is staged as files, so that a
test can spoil a piece as the pages allow. Each line of the record is a JSON object.
"""

import asyncio
import hashlib
import json
import os
import random
import struct
import sys
import time

from http1 import answer, head_bytes, read_body, read_head, serve

HEARTBEAT = 1.2  # seconds, `heartbeat_ms` of the settings
QUEUE = 2  # requests that wait, for each slot


def piece(model, version, index, size):
    """The bytes of a piece, other ones for each version."""
    return random.Random(f"{model}/{version}/{index}").randbytes(size)


class Engine:
    def __init__(self, settings):
        self.__dict__.update(settings)
        self.version = 1
        self.bad = []  # pieces that were wrong when the layers were taken
        self.is_busy = False
        self.orders = 0
        self.beats = 0
        self.running = 0
        self.waiting = 0
        self.changed = asyncio.Event()
        self.pass_ended = asyncio.Event()
        self.log = open(self.record, "a", encoding="utf-8", buffering=1)

    def note(self, what, **fields):
        self.log.write(json.dumps({"at": round(time.monotonic(), 4), "what": what,
                                   "replica": self.id, **fields}) + "\n")

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def passes(self):
        """Works in passes: each ends with an event for every request that writes."""
        while True:
            await asyncio.sleep(self.event_ms / 1000)
            self.pass_ended.set()
            self.pass_ended = asyncio.Event()

    def weights(self):
        held = self.version > 0
        return {"models": [{"name": self.model, "version": self.version, "adapters": []}] if held
                else [],
                "layers": [{"from": 0, "target_version": self.layers, "version": self.version}]
                if held else []}

    async def beat(self):
        """Writes the own entry into the store, about every `heartbeat_ms`."""
        host, port = self.store.split(":")
        while True:
            self.beats += 1
            entry = {"service": self.service, "address": self.address, "zone": self.zone,
                     "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0,
                     "stage": "hybrid", **self.weights(), "sequence": self.beats}
            key, value = self.id.encode(), json.dumps(entry).encode()
            body = struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head_bytes("POST /log-append?topic=keyed.servers&part=0 HTTP/1.1", {
                    "Host": self.store, "Content-Length": str(len(body))}) + body)
                await asyncio.wait_for(read_head(reader), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT)
            except asyncio.TimeoutError:
                pass
            self.beat_now.clear()

    async def handle(self, request):
        if request.path == "/report":
            told = {"stage": "hybrid", "busy": self.is_busy, "sequence": self.orders,
                    "waiting": self.waiting, "running": self.running, "kv_used": 0,
                    "kv_total": 685000, "handles": 0, "pace": 1.0, **self.weights()}
            await answer(request, 200, {"Content-Type": "application/json"},
                         json.dumps(told).encode())
        elif request.path == "/order":
            await self.order(request)
        elif request.path.startswith("/stage-put/"):
            self.write_piece(int(request.query["n"]), request.body)
            await answer(request, 200)
        elif request.path.startswith("/stage-get/"):
            await self.stage_get(request)
        else:
            await self.stream(request)

    def piece_path(self, index):
        return os.path.join(self.stage, str(index))

    def write_piece(self, index, data):
        with open(self.piece_path(index) + ".new", "wb") as file:
            file.write(data)
        os.replace(self.piece_path(index) + ".new", self.piece_path(index))

    def read_piece(self, index):
        try:
            with open(self.piece_path(index), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    async def stage_get(self, request):
        if "n" not in request.query:
            held = sorted(int(name) for name in os.listdir(self.stage) if name.isdigit())
            await answer(request, 200, {"Content-Type": "application/json"},
                         json.dumps({"held": held}).encode())
            return
        index = int(request.query["n"])
        data = self.read_piece(index)
        if index == self.chunks - 1:
            self.note("last piece read back", waiting=self.waiting)
        await answer(request, 404 if data is None else 200, {}, data or b"")

    async def order(self, request):
        order = json.loads(request.body)
        expected = order.get("expected_rev", self.orders)
        if order.get("op") != "start":
            await answer(request, 400)
        elif self.is_busy or expected != self.orders:
            await answer(request, 409)
        elif order["version"] == self.version:
            await answer(request, 200)
        else:
            self.orders += 1
            self.is_busy = True
            asyncio.ensure_future(self.load(order["version"]))
            await answer(request, 202)

    async def load(self, version):
        """Takes what lies in the stage when the order comes; works on it after what runs."""
        bad = [index for index in range(self.chunks) if self.read_piece(index)
               != piece(self.model, version, index, self.chunk_bytes)]
        self.note("layers taken", version=version, bad=bad, running=self.running)
        while self.running:
            await self.changed.wait()
        await asyncio.sleep(self.warm_ms / 1000)
        self.version, self.bad, self.is_busy = version, bad, False
        self.wake()
        self.beat_now.set()
        self.note("loaded", version=version)

    def refusal(self, request):
        wanted = request.headers.get("loomjunction-target-instance", self.id)
        version = request.headers.get("expect-version")
        if wanted != self.id or (version and int(version) != self.version) or self.is_busy:
            return 421
        if self.running + self.waiting >= self.slots * QUEUE:
            return 503
        return 0

    async def stream(self, request):
        name = request.headers.get("loomjunction-request-id", "")
        told = {"Loomjunction-Request-Id": name, "Loomjunction-Instance-Id": self.id}
        status = self.refusal(request)
        if status:
            self.note("refused", request=name, status=status)
            await answer(request, status, {**told, "Loomjunction-Not-Executed": "1"})
            return
        until = time.monotonic() + int(request.headers["loomjunction-deadline-ms"]) / 1000
        self.waiting += 1
        while self.running >= self.slots and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        self.waiting -= 1
        if request.reader.at_eof() or request.writer.transport.is_closing():
            self.note("dropped", request=name)  # its connection closed while it waited
            self.wake()
            request.writer.close()
            return
        if self.running >= self.slots:
            await answer(request, 503, {**told, "Loomjunction-Not-Executed": "1"})
            return
        self.running += 1
        watcher = asyncio.ensure_future(request.reader.read(1))
        try:
            await self.events(request, name, told, until, watcher)
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)
            self.running -= 1
            self.wake()

    async def events(self, request, name, told, until, watcher):
        total = int(request.query.get("events", 20))
        first = int(request.headers.get("last-event-id", 0)) + 1
        await asyncio.sleep(0.03)  # reads the prompt
        await self.pass_ended.wait()
        self.note("run", request=name, version=self.version, bad=self.bad, first=first)
        request.writer.write(head_bytes("HTTP/1.1 200 OK", {
            **told, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
            "Versions": str(self.version),
            "Loomjunction-Response-Signature": f"{self.id}.{name}"}))
        for event in range(first, total + 1):
            text = f"id: {event}\ndata: {name}/{event}/{total}\n\n".encode()
            request.writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await request.writer.drain()
            pass_end = asyncio.ensure_future(self.pass_ended.wait())
            await asyncio.wait({watcher, pass_end}, return_when=asyncio.FIRST_COMPLETED)
            pass_end.cancel()
            if watcher.done() or time.monotonic() > until:
                self.note("run ended", request=name, event=event)
                request.writer.close()
                return
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()


async def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        engine = Engine(json.load(file))
    engine.beat_now = asyncio.Event()
    os.makedirs(engine.stage, exist_ok=True)
    for index in range(engine.chunks):
        engine.write_piece(index, piece(engine.model, 1, index, engine.chunk_bytes))
    host, port = engine.address.split(":")
    await serve(engine.handle, host, int(port))
    with open(engine.ready, "w", encoding="utf-8") as file:
        file.write(str(os.getpid()))
    await asyncio.gather(engine.beat(), engine.passes())


if __name__ == "__main__":
    asyncio.run(main())
