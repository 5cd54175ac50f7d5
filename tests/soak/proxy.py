# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""A loopback proxy whose links can be delayed, reset, cut one way or silenced."""

import asyncio
import dataclasses
import socket
import struct
import time

PIECE = 16 * 1024
NO_LINGER = struct.pack("ii", 1, 0)
# Calls that a stager makes to the engine on its own box cross no network.
LOCAL_CALLS = (b"GET /report", b"GET /stage-get", b"PUT /stage-put", b"POST /order")


@dataclasses.dataclass
class LinkState:
    """What a link does to the bytes on it."""

    delay: float = 0.0  # seconds, each way
    drops_up: bool = False  # towards the server: held, never delivered while it lasts
    drops_down: bool = False

    def is_calm(self):
        return self.delay == 0 and not self.drops_up and not self.drops_down


def reset(transport):
    """Resets a connection. One that is only aborted ends as if all had been sent."""
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


class Proxy:
    """Passes connections on to one address, as its state says."""

    def __init__(self, target, spares_local=False):
        self.target = target
        self.spares_local = spares_local
        self.state = LinkState()
        self.accepts = True
        self.writers = set()
        self.disturbances = []  # (begin, end)
        self.address = None
        self.server = None

    async def start(self, host, port):
        self.address = (host, port)
        await self.listen()

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, *self.address)

    def end(self):
        """As a process that ends: nobody listens any more, and all connections are closed."""
        self.server.close()
        self.note_disturbance(0)
        for writer in list(self.writers):
            writer.transport.abort()

    def note_disturbance(self, lasts):
        """From now on, for so many seconds."""
        self.disturbances.append((time.monotonic(), time.monotonic() + lasts))

    def reset_all(self):
        self.note_disturbance(0)
        for writer in list(self.writers):
            reset(writer.transport)

    async def _accept(self, reader, writer):
        if not self.accepts:
            writer.transport.abort()
            return
        try:
            first = await reader.read(PIECE)
            is_local = self.spares_local and first.startswith(LOCAL_CALLS)
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, up_writer))
        await asyncio.gather(
            self._pump(reader, up_writer, "drops_up", is_local, first),
            self._pump(up_reader, writer, "drops_down", is_local, b""))
        self.writers.difference_update((writer, up_writer))

    async def _pump(self, reader, writer, drops, is_local, piece):
        try:
            while True:
                if piece:
                    await self._hold(drops, is_local)
                    writer.write(piece)
                    await writer.drain()
                piece = await reader.read(PIECE)
                if not piece:
                    break
            writer.close()
        except (OSError, RuntimeError):
            reset(writer.transport)

    async def _hold(self, drops, is_local):
        if is_local:
            return
        if self.state.delay:
            await asyncio.sleep(self.state.delay)
        while getattr(self.state, drops):
            await asyncio.sleep(0.05)
