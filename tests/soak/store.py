# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""A stand-in of the platform's store: keyed topics, long reads, copies, and its troubles."""

import asyncio
import base64
import random
import struct
import time

from aiohttp import web


class Topic:
    """Records in the order of their offsets, and the newest of each key."""

    def __init__(self):
        self.history = []  # all records since the first offset, as (time, key, value)
        self.first = 0  # offset of the oldest record kept
        self.newest = {}
        self.grown = asyncio.Event()

    @property
    def end(self):
        return len(self.history)

    def records(self, start):
        return [(key, value) for _, key, value in self.history[start:]]

    def append(self, key, value):
        self.history.append((time.monotonic(), key, value))
        self._take(self.end - 1)
        self.wake()
        return self.end - 1

    def _take(self, offset):
        _, key, value = self.history[offset]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)

    def wake(self):
        self.grown.set()
        self.grown = asyncio.Event()

    def forget(self):
        self.first = self.end

    def restore(self, copied_at):
        """Returns to what it held at that time; later offsets are given out again."""
        self.history = [record for record in self.history if record[0] <= copied_at]
        self.first = min(self.first, self.end)
        self.newest = {}
        for offset in range(self.end):
            self._take(offset)
        self.wake()


class Store:
    """The store as processes see it over HTTP, and as operators and replicas write it."""

    def __init__(self, rng: random.Random):
        self.topics = {}
        self.rng = rng
        self.answers = "well"  # well, busy, silent, lossy, away
        self.slow = 0.0  # seconds before each answer
        self.era = 1
        self.intended = {}  # newest value of each (topic, key) that others than the system wrote
        self.calls = []  # times
        self.trouble_ended = 0.0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def write(self, topic, key, value):
        """What the operators and replicas write; returns when it was accepted."""
        self.intended[(topic, key)] = value
        self.topic(topic).append(key, value)
        return time.monotonic()

    def forget(self):
        """Drops the history; the newest record of each key stays."""
        for topic in self.topics.values():
            topic.forget()

    def restore(self, seconds):
        """Returns from a copy that is so old; gives the (topic, key) pairs that others lost."""
        for topic in self.topics.values():
            topic.restore(time.monotonic() - seconds)
        self.era += 1
        return [place for place in self.intended if self._is_lost(place)]

    def _is_lost(self, place):
        topic, key = place
        held = self.topic(topic).newest.get(key)
        return (held[1] if held else None) != self.intended[place]

    def write_again(self, place):
        """What the operators and replicas do for each lost record, unless it was written since."""
        if self._is_lost(place):
            self.topic(place[0]).append(place[1], self.intended[place])

    async def serve(self, host, port):
        app = web.Application(client_max_size=1 << 24)
        app.on_response_prepare.append(self._state_era)
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _state_era(self, _, response):
        response.headers["Store-Era"] = str(self.era)

    async def _trouble(self, request):
        if not request.get("is_counted"):
            request["is_counted"] = True
            self.calls.append(time.monotonic())
        if self.answers == "away":
            request.transport.abort()
        if self.slow:
            await asyncio.sleep(self.slow)
        if self.answers == "silent":
            await asyncio.sleep(3600)
        return web.Response(status=503) if self.answers == "busy" else None

    async def _append(self, request):
        refused = await self._trouble(request)
        if refused is not None:
            return refused
        body = await request.read()
        topic = self.topic(request.query["topic"])
        offset = topic.end
        while body:
            (size,) = struct.unpack(">I", body[:4])
            record, body = body[4:4 + size], body[4 + size:]
            key = record[1:1 + record[0]].decode()
            topic.append(key, record[1 + record[0]:])
        if self.answers == "lossy" and self.rng.random() < 0.5:
            request.transport.abort()
        return web.json_response({"offset": offset, "end": topic.end})

    async def _read(self, request):
        refused = await self._trouble(request)
        if refused is not None:
            return refused
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        while start == topic.end and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        refused = await self._trouble(request)
        if refused is not None:
            return refused
        if not topic.first <= start <= topic.end:
            return web.json_response({"first": topic.first}, status=410)
        body = struct.pack(">QQ", topic.end, topic.first)
        for key, value in topic.records(start):
            name = key.encode()
            body += struct.pack(">IB", 1 + len(name) + len(value or b""), len(name))
            body += name + (value or b"")
        return web.Response(body=body)

    async def _newest(self, request):
        refused = await self._trouble(request)
        if refused is not None:
            return refused
        topic = self.topic(request.query["topic"])
        items = [{"tls_key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in sorted(topic.newest.items())]
        return web.json_response({"items": items, "more": False, "end": topic.end})
