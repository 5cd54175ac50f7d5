# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Clients outside the limits, all driven by one loop, and what a process holds for them."""

import errno
import os
import selectors
import socket
import time

from loomlab import HOST

PIECE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
# Clients that could send nothing for this long are held up by the process.
QUIET_SECONDS = 3
MAX_SECONDS = 90
SAMPLE_SECONDS = 0.02
STEADY_SAMPLES = 20


class Client:
    """Sends the pieces of an iterator, drops what it is sent, and stays open."""

    def __init__(self, port, pieces, reads=True):
        self.port, self.pieces, self.reads = port, iter(pieces), reads
        self.data = memoryview(b"")
        self.socket = None
        self.answer = b""
        self.sent = 0
        self.is_done, self.is_closed, self.is_reset = False, False, False

    def open(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self.socket.connect_ex((HOST, self.port)) not in (0, errno.EINPROGRESS):
            self.end(True)

    def end(self, is_reset=False):
        self.is_closed, self.is_reset, self.is_done = True, is_reset, True
        if self.socket:
            self.socket.close()

    def send(self):
        """Sends one piece at most, so that all clients send side by side."""
        if not self.data:
            piece = next(self.pieces, None)
            if piece is None:
                self.is_done = True
                return
            self.data = memoryview(piece)
        count = self.socket.send(self.data)
        self.sent += count
        self.data = self.data[count:]

    def receive(self):
        data = self.socket.recv(READ_BYTES)
        self.answer = (self.answer + data)[:PIECE_BYTES]
        if not data:
            self.end()

    def status(self):
        """Of the first answer; 0 where none could be read."""
        line = self.answer.split(b"\r\n")[0].split(b" ")
        return int(line[1]) if len(line) > 1 and line[1].isdigit() else 0


class Process:
    """Memory and descriptors of a process; bytes that arrived and aren't read yet count."""

    def __init__(self, pid, ports):
        self.pid, self.ports = pid, set(ports)
        self.most_mb, self.most_descriptors = 0.0, 0

    def is_alive(self):
        try:
            with open("/proc/%d/stat" % self.pid) as file:
                return file.read().rsplit(")", 1)[1].split()[0] not in "ZX"
        except OSError:
            return False

    def status_mb(self, field):
        with open("/proc/%d/status" % self.pid) as file:
            return next(int(line.split()[1]) for line in file if line.startswith(field)) / 1024

    def unread_bytes(self):
        """Of each open connection of a client."""
        sizes = []
        with open("/proc/net/tcp") as file:
            next(file)
            for line in file:
                _, local, _, state, queues = line.split()[:5]
                if state in ("01", "08") and int(local.split(":")[1], 16) in self.ports:
                    sizes.append(int(queues.split(":")[1], 16))
        return sizes

    def unread_mb(self):
        return sum(self.unread_bytes()) / 1024 / 1024

    def memory_mb(self):
        return self.status_mb("VmRSS") + self.unread_mb()

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.pid))

    def sample(self):
        if self.is_alive():
            self.most_mb = max(self.most_mb, self.memory_mb(), self.status_mb("VmHWM"))
            self.most_descriptors = max(self.most_descriptors, self.descriptors())


class Crowd:
    """Drives clients until each has sent all it has, was closed, or is held up."""

    def __init__(self, process, clients, stop_mb):
        self.process, self.clients, self.stop_mb = process, clients, stop_mb
        self.selector = selectors.DefaultSelector()

    def __enter__(self):
        for client in self.clients:
            client.open()
            if not client.is_closed:
                self.selector.register(client.socket, self.events(client), client)
        self.drive()
        return self

    def __exit__(self, *_):
        self.selector.close()
        for client in self.clients:
            if not client.is_closed:
                client.socket.close()

    @staticmethod
    def events(client):
        reading = selectors.EVENT_READ if client.reads else 0
        return reading | (0 if client.is_done else selectors.EVENT_WRITE)

    def step(self, client, ready):
        is_moving = False
        try:
            if ready & selectors.EVENT_READ:
                client.receive()
            if ready & selectors.EVENT_WRITE and not client.is_done:
                client.send()
                is_moving = True
        except BlockingIOError:
            pass
        except OSError:
            self.selector.unregister(client.socket)
            client.end(True)
            return False
        if client.is_closed or not self.events(client):
            key = next((key for key in self.selector.get_map().values() if key.data is client), None)
            if key:
                self.selector.unregister(key.fileobj)
        elif client.is_done:
            self.selector.modify(client.socket, self.events(client), client)
        return is_moving

    def drive(self):
        """Ends early when the process is gone or far above its bound."""
        began = moved = sampled = time.monotonic()
        self.process.sample()
        while not all(client.is_done for client in self.clients):
            now = time.monotonic()
            for key, ready in self.selector.select(0.05):
                if self.step(key.data, ready):
                    moved = now
            if now - sampled > SAMPLE_SECONDS:
                sampled = now
                self.process.sample()
                if not self.process.is_alive() or self.process.most_mb > self.stop_mb:
                    break
            if now - moved > QUIET_SECONDS or now - began > MAX_SECONDS:
                break
        self.settle()

    def settle(self):
        """Samples until the process has read what it will."""
        last, same = None, 0
        while same < STEADY_SAMPLES and self.process.is_alive():
            self.process.sample()
            now = (self.process.most_mb, round(self.process.unread_mb(), 2))
            same = same + 1 if now == last else 0
            last = now
            time.sleep(SAMPLE_SECONDS)

    def wait_for_answers(self):
        """Until each client has read the beginning of an answer, or was closed."""
        until = time.monotonic() + MAX_SECONDS
        while time.monotonic() < until:
            if all(client.answer or client.is_closed for client in self.clients):
                return
            for key, ready in self.selector.select(0.05):
                self.step(key.data, ready)

    def open_count(self):
        return sum(not client.is_closed for client in self.clients)
