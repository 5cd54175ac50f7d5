"""A client that asks for streams over kept connections, as PROTOCOL.md describes it."""

import asyncio
import time

from http1 import head_bytes, read_body, read_chunks, read_head

GIVE_UP_AFTER = 2.4  # seconds without an event: the longest of 2 s, 4 x goal_ms, 8 x gap_aim_ms
TIME_BUDGET = 6.0


class Answer:
    """How one attempt ended, as its client saw it."""

    def __init__(self, name):
        self.name = name
        self.status = 0  # 0: no answer
        self.how = "closed"  # "whole", "answered", "refused", "failed", "gave up", "cut", "closed"
        self.events = 0
        self.last = 0
        self.after = 0.0  # seconds


class Client:
    def __init__(self, address, host, key, number):
        self.address = address
        self.host = host
        self.key = key
        self.number = number
        self.count = 0
        self.stream = None

    async def connect(self):
        host, port = self.address.split(":")
        self.stream = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)

    def close(self):
        if self.stream:
            self.stream[1].close()
        self.stream = None

    async def ask(self, path, prompt=None):
        """One attempt, with an id of its own; `prompt`: its tokens, for a model."""
        self.count += 1
        name = f"{self.number:06x}{self.count:010x}"
        told = Answer(name)
        began = time.monotonic()
        try:
            if self.stream is None:
                await self.connect()
            reader, writer = self.stream
            body = b"x" * 300
            headers = {"Host": self.host, "Authorization": f"Token {self.key}",
                       "Loomjunction-Request-Id": name,
                       "Loomjunction-Deadline-Ms": str(int(TIME_BUDGET * 1000)),
                       "Content-Length": str(len(body))}
            if prompt:
                headers.update({"Loomjunction-Model": "model-0",
                                "Loomjunction-Token-Usage": f"{prompt},80",
                                "Loomjunction-Prompt-Prefix": f"5c1e07a2:40,{name}:{prompt - 40}"})
            writer.write(head_bytes(f"POST {path} HTTP/1.1", headers) + body)
            await self._read(reader, told, began)
        except asyncio.TimeoutError:  # a subclass of OSError
            told.how = "gave up"
        except (OSError, asyncio.IncompleteReadError):
            told.how = "cut" if told.status else "closed"
        if told.how not in ("whole", "answered", "refused", "failed"):
            self.close()
        told.after = time.monotonic() - began
        return told

    async def _read(self, reader, told, began):
        head = await self._within(read_head(reader), began)
        if head is None:
            return
        told.status = int(head[0].split(" ")[1])
        headers = head[1]
        if headers.get("transfer-encoding", "") != "chunked":
            await read_body(reader, headers)
            is_good = told.status // 100 == 2
            told.how = "refused" if told.status in (429, 503) else "answered" if is_good else "failed"
            if headers.get("connection", "") == "close":
                self.close()
            return
        pieces = read_chunks(reader)
        while True:
            try:
                piece = await self._within(pieces.__anext__(), began)
            except StopAsyncIteration:
                break
            for line in piece.decode().split("\n"):
                if line.startswith("id: "):
                    told.events += 1
                    told.last = int(line[4:])
        told.how = "whole"
        if headers.get("connection", "") == "close":
            self.close()

    async def _within(self, step, began):
        left = min(GIVE_UP_AFTER, began + TIME_BUDGET - time.monotonic())
        return await asyncio.wait_for(step, max(left, 0.001))
