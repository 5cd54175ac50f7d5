# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""A gateway process with one replica that ordinary callers and clients outside the limits use."""

import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "process"))

from common import wait_for  # noqa: E402
from crowd import Process  # noqa: E402
from gatewaylab import OPERATORS, REPLICAS, Gateway, Store  # noqa: E402
from loomlab import HOST, Lab, program, request  # noqa: E402

BODY_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 16 * 1024
LARGE_ANSWER_BYTES = 8 * 1024 * 1024
SLOTS = 400


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, *_):
        pass  # the gateway closed the connection


class Replica:
    """Answers with the length of the body; requests below /held/ only after release()."""

    def __init__(self, store, name="r1"):
        self.released = threading.Event()
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                if self.path.startswith("/held/"):
                    replica.released.wait()
                answer = b"%d" % len(body)
                if self.path.endswith("/large"):
                    answer = b"z" * LARGE_ANSWER_BYTES
                self.send_response(200)
                self.send_header("Loomjunction-Request-Id", self.headers["Loomjunction-Request-Id"])
                self.send_header("Loomjunction-Response-Signature", "s")
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

        self.server = Server((HOST, 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        store.write(REPLICAS, name, json.dumps(
            {"service": "desk", "address": "%s:%d" % self.server.server_address, "zone": "z1",
             "slots": SLOTS, "state": "ready", "models": []}))

    def release(self):
        self.released.set()


class Target:
    """A process that clients connect to, whose memory and descriptors are sampled."""

    def start(self, pid, ports):
        """@p ports maps the purposes of its listeners to their ports."""
        self.ports = ports
        self.process = Process(pid, ports.values())
        wait_for("an answer in calm", self.answers)
        self.calm_mb = self.process.memory_mb()

    def __enter__(self):
        return self

    def answers(self):
        """Whether an ordinary request on a new connection is answered."""
        raise NotImplementedError

    def release(self):
        """Ends the requests that are held upstream."""


def has_status(expected, port, method, target):
    try:
        return request(port, method, target)[0] == expected
    except OSError:
        return False


class AgentFleet(Target):
    """An agent beside an engine that isn't there."""

    def __init__(self):
        self.store = Store()
        self.store.server.handle_error = lambda *_: None
        free = [socket.create_server((HOST, 0)) for _ in range(3)]
        ports = [server.getsockname()[1] for server in free]
        for server in free:
            server.close()
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "settings.json")
        with open(path, "w") as file:
            json.dump({"role": "stager", "box": "a1", "dataCentre": "z1", "region": "r1",
                       "peers": "%s:%d" % (HOST, ports[0]), "store": self.store.address, "seeds": [],
                       "metrics": "%s:%d" % (HOST, ports[1]),
                       "stager": {"service": "model", "engine": "%s:%d" % (HOST, ports[2])}}, file)
        self.child = subprocess.Popen([program("loomjunctiond"), "--config", path],
                                      stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.start(self.child.pid, {"metrics": ports[1]})

    def __exit__(self, *_):
        self.child.kill()
        self.child.wait()

    def answers(self):
        return has_status(200, self.ports["metrics"], "GET", "/metrics")


class EntryFleet(Target):
    """An entry of a deployment whose agents carry the requests."""

    def __init__(self):
        self.lab = Lab()
        entry = self.lab.add_entry("entry-1")
        self.start(entry.process.child.pid,
                   {"callers": entry.callers, "operators": entry.operators})

    def __exit__(self, *_):
        self.lab.stop()

    def answers(self):
        return has_status(200, self.ports["operators"], "GET", "/admin/health") \
            and has_status(404, self.ports["callers"], "GET", "/v1/addresses?service=none")


class Fleet(Target):
    """One gateway with one replica."""

    def __init__(self, descriptors=None, idle_ms=60000, header_ms=60000, body_bytes=BODY_BYTES):
        self.store = Store()
        self.store.server.handle_error = lambda *_: None  # the gateway was killed
        routes = [{"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": "safe",
                   "timeout_ms": 60000, "goal_ms": 1000, "max_attempts": 2, "service": "desk",
                   "public": True} for name in ("desk", "held")]
        self.store.write(OPERATORS, "config", json.dumps(
            {"version": 1, "routes": routes, "services": [{"name": "desk", "max_conns": 1000}],
             "limits": {"max_header_bytes": HEADER_BYTES, "max_body_bytes": body_bytes,
                        "header_timeout_ms": header_ms, "idle_timeout_ms": idle_ms}}))
        self.replica = Replica(self.store)
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, before[1]))
        try:
            self.gateway = Gateway(self.store)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)
        self.start(self.gateway.process.pid,
                   {"callers": self.gateway.callers, "readiness": self.gateway.ready,
                    "metrics": self.gateway.metrics, "addresses": self.gateway.addresses})

    def __exit__(self, *_):
        self.replica.release()
        self.gateway.stop()
        self.store.server.shutdown()

    def answers(self, body="", timeout=10):
        """As for a target; the replica has to receive the whole @p body."""
        try:
            status, _, text = request(self.gateway.callers, "POST", "/desk/a", body,
                                      {"Loomjunction-Request-Id": "id%d" % time.monotonic_ns()},
                                      timeout=timeout)
        except OSError:
            return False
        return status == 200 and text == str(len(body))

    def answers_addresses(self):
        return has_status(200, self.gateway.addresses, "GET", "/resolve")

    def release(self):
        self.replica.release()


__all__ = ["BODY_BYTES", "HEADER_BYTES", "AgentFleet", "EntryFleet", "Fleet", "wait_for"]
