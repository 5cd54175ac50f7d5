# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""A store and gateway processes that read it, for tests of real processes."""

import base64
import json
import os
import signal
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

from common import wait_for
from loomlab import HOST, program, request

OPERATORS, REPLICAS = "keyed.op", "keyed.servers"


def serve(handler):
    server = ThreadingHTTPServer((HOST, 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """A store stand-in: logs of keyed records, read from an offset or by their newest values."""

    def __init__(self):
        self.logs = {}
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, body):
                self.send_response(200)
                self.send_header("Store-Era", "1")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                try:
                    self.wfile.write(body)
                except OSError:
                    pass  # the gateway was killed

            def do_GET(self):
                url = urlparse(self.path)
                fields = {name: values[0] for name, values in parse_qs(url.query).items()}
                if url.path == "/log-newest":
                    self.answer(store.newest(fields["topic"]))
                else:
                    self.answer(store.read(fields["topic"], int(fields["from"]),
                                           int(fields["wait_ms"]) / 1000))

            def do_POST(self):
                record = self.rfile.read(int(self.headers["Content-Length"]))[4:]
                key = record[1:1 + record[0]].decode()
                topic = parse_qs(urlparse(self.path).query)["topic"][0]
                store.write(topic, key, record[1 + record[0]:].decode())
                self.answer(b"{}")

        self.server = serve(Handler)
        self.address = "%s:%d" % self.server.server_address

    def write(self, topic, key, value):
        """Appends a record; an empty value removes the key."""
        with self.changed:
            self.logs.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def newest(self, topic):
        with self.changed:
            log = list(self.logs.get(topic, []))
        values = {key: (offset, value) for offset, (key, value) in enumerate(log)}
        items = [{"tls_key": key, "offset": offset, "value": base64.b64encode(value.encode()).decode()}
                 for key, (offset, value) in sorted(values.items()) if value]
        return json.dumps({"items": items, "end": len(log), "more": False}).encode()

    def read(self, topic, start, wait):
        with self.changed:
            self.changed.wait_for(lambda: len(self.logs.get(topic, [])) > start, wait)
            log = list(self.logs.get(topic, []))
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            record = bytes([len(key)]) + (key + value).encode()
            body += struct.pack(">I", len(record)) + record
        return body


class Gateway:
    """A gateway process with its settings file and the lines that it logs."""

    def __init__(self, store):
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "settings.json")
        free = [serve(BaseHTTPRequestHandler) for _ in range(4)]
        self.callers, self.ready, self.metrics, self.addresses = [
            server.server_address[1] for server in free]
        for server in free:
            server.shutdown()
            server.server_close()
        with open(self.path, "w") as file:
            json.dump({"role": "gateway", "box": "g1", "dataCentre": "z1", "region": "r1",
                       "regions": {"z2": "r2"}, "peers": HOST + ":0", "store": store.address,
                       "seeds": [], "bounds": {"retryRatio": 10, "retryExtra": 100, "retryWindowSeconds": 1}, "metrics": "%s:%d" % (HOST, self.metrics),
                       "gateway": {"callers": "%s:%d" % (HOST, self.callers),
                                   "readiness": "%s:%d" % (HOST, self.ready),
                                   "addresses": "%s:%d" % (HOST, self.addresses)}}, file)
        self.start()

    def start(self):
        self.lines = []
        self.process = subprocess.Popen([program("loomjunctiond"), "--config", self.path],
                                        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        threading.Thread(target=self._read, args=(self.process, self.lines), daemon=True).start()
        wait_for("readiness", self.is_ready)

    def stop(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            return request(self.ready, "GET", "/ready")[0] == 200
        except OSError:
            return False

    @staticmethod
    def _read(process, lines):
        for line in process.stdout:
            if line.startswith("{"):
                lines.append(json.loads(line))

    def events(self, name):
        return [line for line in list(self.lines) if line["event"] == name]

    def call(self, path):
        return request(self.callers, "POST", path, "",
                       {"Loomjunction-Request-Id": "id%d" % time.monotonic_ns()})

    def gauge(self, name):
        for line in request(self.metrics, "GET", "/metrics")[2].splitlines():
            if line.startswith(name + " "):
                return int(line.split()[1])
        return None
