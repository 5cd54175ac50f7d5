"""The platform's store: keyed topics with one partition, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import struct

from http1 import answer, serve

OPERATORS = "keyed.op"
SERVERS = "keyed.servers"


class Topic:
    def __init__(self):
        self.records = []  # (key, value), by offset
        self.newest = {}  # key: (offset, value)
        self.grown = asyncio.Event()

    def append(self, key, value):
        self.records.append((key, value))
        if value:
            self.newest[key] = (len(self.records) - 1, value)
        else:
            self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    def __init__(self):
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def write(self, topic, key, value):
        """What the operator and the replicas write; None removes the key."""
        self.topic(topic).append(key, b"" if value is None else json.dumps(value).encode())

    async def serve(self, host):
        self.server, port = await serve(self._handle, host, 0)
        return f"{host}:{port}"

    async def _handle(self, request):
        handlers = {"/log-append": self._append, "/log-read": self._read,
                    "/log-newest": self._newest}
        await handlers[request.path](request, self.topic(request.query["topic"]))

    async def _append(self, request, topic):
        body, offset = request.body, len(topic.records)
        while body:
            (size,) = struct.unpack(">I", body[:4])
            record, body = body[4:4 + size], body[4 + size:]
            topic.append(record[1:1 + record[0]].decode(), record[1 + record[0]:])
        told = {"offset": offset, "end": len(topic.records)}
        await answer(request, 200, {"Content-Type": "application/json"}, json.dumps(told).encode())

    async def _read(self, request, topic):
        start = int(request.query["from"])
        wait = int(request.query.get("wait_ms", 0)) / 1000
        if start >= len(topic.records) and wait > 0:
            try:
                await asyncio.wait_for(topic.grown.wait(), wait)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            name = key.encode()
            body += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
        await answer(request, 200, {}, body)

    async def _newest(self, request, topic):
        items = [{"tls_key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in sorted(topic.newest.items())]
        told = {"items": items, "more": False, "end": len(topic.records)}
        await answer(request, 200, {"Content-Type": "application/json"}, json.dumps(told).encode())
