# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""A stand-in of the platform's store: keyed topics, long reads, and its troubles."""

import asyncio
import base64
import random
import struct
import time

from aiohttp import web


class Topic:
    """Records in the order of their offsets, and the newest of each key."""

    def __init__(self):
        self.records = []
        self.first = 0  # offset of the oldest record kept
        self.newest = {}
        self.grown = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, key, value):
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """The store as processes see it over HTTP, and as operators and replicas write it."""

    def __init__(self, rng: random.Random):
        self.topics = {}
        self.rng = rng
        self.answers = "well"  # well, busy, silent, lossy
        self.slow = 0.0  # seconds before each answer
        self.trouble_ended = 0.0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def write(self, topic, key, value):
        """What the operators and replicas write; returns when it was accepted."""
        self.topic(topic).append(key, value)
        return time.monotonic()

    def forget(self):
        """Drops the history; the newest record of each key stays."""
        for topic in self.topics.values():
            topic.first = topic.end
            topic.records = []

    async def serve(self, host, port):
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _trouble(self):
        if self.slow:
            await asyncio.sleep(self.slow)
        if self.answers == "silent":
            await asyncio.sleep(3600)
        return web.Response(status=503) if self.answers == "busy" else None

    async def _append(self, request):
        refused = await self._trouble()
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
        refused = await self._trouble()
        if refused is not None:
            return refused
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        while start >= topic.end and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        refused = await self._trouble()
        if refused is not None:
            return refused
        if start < topic.first:
            return web.json_response({"first": topic.first}, status=410)
        body = struct.pack(">QQ", topic.end, topic.first)
        for key, value in topic.records[start - topic.first:]:
            name = key.encode()
            body += struct.pack(">IB", 1 + len(name) + len(value or b""), len(name))
            body += name + (value or b"")
        return web.Response(body=body)

    async def _newest(self, request):
        refused = await self._trouble()
        if refused is not None:
            return refused
        topic = self.topic(request.query["topic"])
        items = [{"tls_key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in sorted(topic.newest.items())]
        return web.json_response({"items": items, "more": False, "end": topic.end})
