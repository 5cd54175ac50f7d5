# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Replicas that send bytes without end to a gateway process with many callers.

  test_endless.py            each kind for a short time, as in CI
  test_endless.py --measure [CALLERS]
                             longer, with one and two of four replicas, fast and in a trickle, as a table
"""

import asyncio
import collections
import json
import sys
import time

from common import main
from gatewaylab import OPERATORS, REPLICAS, Gateway, Store
from loomlab import HOST

CALLERS = 60
REPLICA_COUNT = 4
FLOOD_TURNS = 20
FLOOD_TURN_SECONDS = 1.0
EVENTS = 10
EVENT_SECONDS = 0.02
MAX_GROWTH_MB = 60  # above the run in which all replicas are sound
FLOOD_SECONDS = 0.01  # between two pieces of a flood
FAST = 30_000_000  # bytes a second and connection
TRICKLE = 100

SIGNED = "Loomjunction-Response-Signature: s\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def head(status, name, *lines):
    return ("HTTP/1.1 %s\r\nLoomjunction-Request-Id: %s\r\n%s\r\n"
            % (status, name, "".join(lines))).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


EVENT_STREAM = "Content-Type: text/event-stream\r\n"
# What comes first, by the request's id, and how the bytes that follow are framed.
KINDS = {
    "bytes that are no HTTP": (lambda name: b"", lambda data: data),
    "header lines": (lambda name: b"HTTP/1.1 200 OK\r\n", lambda data: b"X: " + data + b"\r\n"),
    "interim heads": (lambda name: b"",
                      lambda data: b"HTTP/1.1 100 Continue\r\n\r\n" * (len(data) // 25 + 1)),
    "an event": (lambda name: head("200 OK", name, SIGNED, EVENT_STREAM, CHUNKED)
                 + chunk(b"id: 1\ndata: "), chunk),
    "a signed answer without length": (lambda name: head("200 OK", name, SIGNED), lambda data: data),
    "a refusal": (lambda name: head("503 X", name, "Loomjunction-Not-Executed: 1\r\n", CHUNKED),
                  chunk),
    "an answer to another request": (lambda name: head("200 OK", "other", SIGNED, CHUNKED), chunk),
}


class ModelReplica:
    """Streams events, or floods when `kind` is set."""

    def __init__(self, number, callers):
        self.name = "i-%d" % number
        self.slots = callers // 3
        self.kind = None
        self.rate = FAST
        self.floods = 0
        self.held = []  # seconds for which floods lasted

    async def start(self, store):
        server = await asyncio.start_server(self.serve, HOST, 0)
        address = "%s:%d" % server.sockets[0].getsockname()
        store.write(REPLICAS, self.name, json.dumps(
            {"service": "model", "address": address, "zone": "z1", "slots": self.slots, "state": "ready",
             "models": []}))
        return server

    async def serve(self, reader, writer):
        try:
            while True:
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in text.split("\r\n")[1:] if line)
                name = fields["Loomjunction-Request-Id"]
                if self.kind:
                    await self.flood(writer, name)
                    return
                await self.stream(writer, name, int(fields.get("Last-Event-Id", 0)))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # its connection was closed, or the test is over
        finally:
            writer.close()

    async def stream(self, writer, name, after):
        writer.write(head("200 OK", name, SIGNED, EVENT_STREAM, CHUNKED))
        for event in range(after + 1, EVENTS + 1):
            writer.write(chunk(b"id: %d\ndata: e\n\n" % event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def flood(self, writer, name):
        self.floods += 1
        begun = time.monotonic()
        first, framed = KINDS[self.kind]
        writer.write(first(name))
        piece = framed(b"x" * max(1, int(self.rate * FLOOD_SECONDS)))
        try:
            while not writer.transport.is_closing():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(FLOOD_SECONDS)
        except OSError:
            pass
        finally:
            self.held.append(time.monotonic() - begun)


class Caller:
    """Sends one request after the other on one connection, and reads the answers."""

    outcomes = collections.Counter()
    seconds = []  # from the request to the end of each whole stream
    number = 0

    def __init__(self, port):
        self.port = port

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                while await self.ask(reader, writer):
                    pass
                writer.close()
            except (asyncio.IncompleteReadError, OSError):
                Caller.outcomes["connection closed"] += 1
            await asyncio.sleep(0.05)

    async def ask(self, reader, writer):
        Caller.number += 1
        begun = time.monotonic()
        writer.write(("POST /model/a HTTP/1.1\r\nHost: %s\r\nLoomjunction-Request-Id: id%d\r\n"
                      "Loomjunction-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
                      % (HOST, Caller.number)).encode())
        answer = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(answer.split(" ")[1])
        if "chunked" not in answer:
            size = [line for line in answer.split("\r\n") if line.lower().startswith("content-length")]
            await reader.readexactly(int(size[0].split(":")[1]))
            Caller.outcomes[status] += 1
            return "connection: close" not in answer.lower()
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
        is_whole = body == b"".join(b"id: %d\ndata: e\n\n" % event for event in range(1, EVENTS + 1))
        Caller.outcomes["whole" if is_whole else "wrong body"] += 1
        Caller.seconds.append(time.monotonic() - begun)
        return True


class Fleet:
    """A gateway, model replicas and callers, for one kind of bytes."""

    def __init__(self, kind, flooding, rate, callers):
        self.kind, self.flooding, self.rate, self.callers = kind, flooding, rate, callers

    def memory_mb(self):
        with open("/proc/%d/status" % self.gateway.process.pid) as file:
            line = next(line for line in file if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def processor_seconds(self):
        with open("/proc/%d/stat" % self.gateway.process.pid) as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100

    async def begin_floods(self, replicas):
        """Lets replicas flood; others in their place while these get no request."""
        for turn in range(FLOOD_TURNS if self.flooding else 0):
            for number, replica in enumerate(replicas):
                is_flooding = (number + turn) % REPLICA_COUNT < self.flooding
                replica.kind, replica.rate = self.kind if is_flooding else None, self.rate
            until = time.monotonic() + FLOOD_TURN_SECONDS
            while time.monotonic() < until:
                if any(replica.floods for replica in replicas):
                    return
                await asyncio.sleep(0.01)

    async def play(self, seconds):
        store = Store()
        route = {"name": "model", "host": HOST, "path_prefix": "/model/", "kind": "stream",
                 "timeout_ms": 6000, "goal_ms": 400, "gap_aim_ms": 300, "max_attempts": 2,
                 "service": "model", "public": True, "resumable": True}
        store.write(OPERATORS, "config", json.dumps(
            {"version": 1, "routes": [route], "services": [{"name": "model", "max_conns": 400}]}))
        replicas = [ModelReplica(number, self.callers) for number in range(REPLICA_COUNT)]
        servers = [await replica.start(store) for replica in replicas]
        Caller.outcomes = collections.Counter()
        Caller.seconds = []
        loop = asyncio.get_running_loop()
        self.gateway = await loop.run_in_executor(None, Gateway, store)
        try:
            callers = [asyncio.ensure_future(Caller(self.gateway.callers).run())
                       for _ in range(self.callers)]
            await asyncio.sleep(0.5)
            await self.begin_floods(replicas)
            began = self.processor_seconds()
            await asyncio.sleep(seconds)
            self.memory = self.memory_mb()
            self.processor = (self.processor_seconds() - began) / seconds
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            self.floods = sum(replica.floods for replica in replicas)
            self.held = sorted(length for replica in replicas for length in replica.held)
            self.named = {line["part"] for line in self.gateway.events("endless-answer")}
        finally:
            self.gateway.stop()
            for server in servers:
                server.close()
        return self


def play(kind=None, flooding=0, rate=FAST, seconds=2.0, callers=CALLERS):
    fleet = asyncio.run(Fleet(kind, flooding, rate, callers).play(seconds))
    fleet.outcomes = dict(Caller.outcomes)
    return fleet


def test_bytes_without_end_cost_little_memory_and_no_answers():
    calm = play(seconds=1.5)
    assert set(calm.outcomes) == {"whole"}, calm.outcomes
    for kind in KINDS:
        fleet = play(kind, flooding=1)
        told = (kind, fleet.outcomes, "%.0f MB" % fleet.memory, "calm %.0f MB" % calm.memory,
                "floods: %d" % fleet.floods, "longest: %.2f s" % max(fleet.held, default=0))
        print(*told)
        assert fleet.floods > 0, told
        assert fleet.memory <= calm.memory + MAX_GROWTH_MB, told
        assert set(fleet.outcomes) == {"whole"}, told


def percentile99():
    times = sorted(Caller.seconds)
    return times[len(times) * 99 // 100] if times else 0


def measure(callers):
    calm = play(seconds=10, callers=callers)
    print("calm: %.0f MB, processor %.2f, %s, p99 %.2f s"
          % (calm.memory, calm.processor, calm.outcomes, percentile99()))
    for kind in KINDS:
        for flooding in (1, 2):
            for rate in (FAST, TRICKLE):
                fleet = play(kind, flooding, rate, 10, callers)
                held = fleet.held or [0]
                print("| %s | %d | %d | %.0f MB | %.2f | %s | %.2f s | %.2f, %.2f s | %d | %s |"
                      % (kind, flooding, rate, fleet.memory, fleet.processor, fleet.outcomes,
                         percentile99(), held[len(held) // 2], held[-1], fleet.floods,
                         sorted(fleet.named)), flush=True)


if __name__ == "__main__":
    if "--measure" in sys.argv:
        measure(int(sys.argv[2]) if len(sys.argv) > 2 else CALLERS)
    else:
        main(test_bytes_without_end_cost_little_memory_and_no_answers)
