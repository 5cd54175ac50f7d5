# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Starts stand-ins and daemons on loopback for the demo, benches and process tests.

Every process started here is stopped here, by its own id.
"""

import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

HOST = "127.0.0.1"
ENGINES_PER_PROCESS = 4
CRASHES = (-signal.SIGABRT, -signal.SIGSEGV, -signal.SIGBUS)
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def build_dir():
    return os.environ.get("LOOM_BUILD", os.path.join(ROOT, "build"))


def program(name):
    return os.path.join(build_dir(), "src", name, name)


class PortPool:
    """Hands out ports that are free when asked, in blocks of neighbours."""

    def __init__(self):
        self.next = random.Random(os.getpid() ^ time.time_ns()).randrange(10000, 28000)

    def block(self, count):
        while True:
            first = self.next
            self.next += count
            if self.next > 30000:
                self.next = 10000
                continue
            if all(self.is_free(first + i) for i in range(count)):
                return first

    @staticmethod
    def is_free(port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
                return True
            except OSError:
                return False


def request(port, method, target, body=None, headers=None, timeout=10):
    """One HTTP request; gives (status, headers, body as text)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def request_json(port, method, target, value=None, timeout=10):
    body = None if value is None else json.dumps(value)
    status, _, text = request(port, method, target, body, timeout=timeout)
    return status, json.loads(text) if text else {}


def wait_for(what, condition, seconds=60, step=0.05):
    """Waits generously for an event; the time says nothing about speed."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(step)
    raise AssertionError("did not happen: " + what)


def whole_digest(path, chunk_kib=256):
    """What answers from these weights must carry: the digest of all chunk digests."""
    every = hashlib.sha256()
    with open(path, "rb") as file:
        while chunk := file.read(chunk_kib * 1024):
            every.update(hashlib.sha256(chunk).hexdigest().encode())
    return every.hexdigest()


class Process:
    """A child process and the file that its log goes to."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self.command = command
        with open(log_path, "ab") as log:
            self.child = subprocess.Popen(command, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def log_text(self):
        with open(self.log_path, errors="replace") as log:
            return log.read()


class Agent:
    def __init__(self, box, service, data_centre, region, upstream_port, process=None):
        self.box, self.service = box, service
        self.data_centre, self.region = data_centre, region
        self.upstream_port = upstream_port
        self.peers = 0
        self.process = process


class Entry:
    def __init__(self, box, data_centre, region):
        self.box, self.data_centre, self.region = box, data_centre, region
        self.callers = self.operators = self.peers = 0
        self.process = None


class Lab:
    """One whole deployment on loopback."""

    def __init__(self, log_level="info", list_lag_ms=300, origin_mbit=0, retention_ms=3600000,
                 appends_per_second=400, keep_logs=False):
        self.folder = tempfile.mkdtemp(prefix="loom-")
        self.ports = PortPool()
        self.processes = []
        self.entries, self.agents = [], []
        self.entry_defaults = {}
        self.log_level, self.keep_logs = log_level, keep_logs
        self.log_port = self.ports.block(1)
        self.list_port = self.ports.block(1)
        self.origin_port = self.ports.block(1)
        self.log = self.stand_in("log", self.log_port, "--retention-ms", retention_ms,
                                 "--appends-per-second", appends_per_second)
        self.list = self.stand_in("list", self.list_port, "--lag-ms", list_lag_ms)
        self.origin = self.stand_in("weights", self.origin_port, "--egress-mbit", origin_mbit)
        for port in (self.log_port, self.list_port, self.origin_port):
            self.wait_port(port)

    # ---- processes ----------------------------------------------------------

    def start(self, name, command):
        process = Process(name, [str(part) for part in command],
                          os.path.join(self.folder, name + ".log"))
        self.processes.append(process)
        return process

    def stand_in(self, kind, port, *options):
        return self.start("%s-%d" % (kind, port),
                          [program("loomstandin"), kind, "--listen", "%s:%d" % (HOST, port),
                           *options])

    @staticmethod
    def wait_port(port):
        def is_open():
            with socket.socket() as probe:
                probe.settimeout(1)
                return probe.connect_ex((HOST, port)) == 0
        wait_for("port %d open" % port, is_open)

    def engines(self, count, *options):
        """Engines on consecutive ports, a few in each process."""
        first = self.ports.block(count)
        for begin in range(first, first + count, ENGINES_PER_PROCESS):
            here = min(ENGINES_PER_PROCESS, first + count - begin)
            self.stand_in("engine", begin, "--count", here, *options)
        for port in range(first, first + count):
            self.wait_port(port)
        return list(range(first, first + count))

    def plain(self, count, *options):
        first = self.ports.block(count)
        self.stand_in("plain", first, "--count", count, *options)
        self.wait_port(first + count - 1)
        return list(range(first, first + count))

    def settings_file(self, box, settings):
        path = os.path.join(self.folder, box + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def common_settings(self, box):
        return {"box": box.box, "dataCentre": box.data_centre, "region": box.region,
                "peers": "%s:%d" % (HOST, box.peers), "logLevel": self.log_level,
                "platform": {"log": "%s:%d" % (HOST, self.log_port),
                             "list": "%s:%d" % (HOST, self.list_port),
                             "origin": "%s:%d" % (HOST, self.origin_port)}}

    def add_entry(self, box, data_centre="dfw-a", region="texas", announce=True, log_port=None,
                  **options):
        entry = Entry(box, data_centre, region)
        entry.log_port = log_port or self.log_port
        first = self.ports.block(3)
        entry.callers, entry.operators, entry.peers = first, first + 1, first + 2
        entry.options = {**self.entry_defaults, **options}
        self.entries.append(entry)
        self.start_entry(entry)
        if announce:
            self.announce([entry])
        return entry

    def start_entry(self, entry):
        settings = self.common_settings(entry)
        settings["role"] = "entry"
        settings["platform"]["log"] = "%s:%d" % (HOST, entry.log_port)
        settings["entry"] = {"callers": "%s:%d" % (HOST, entry.callers),
                             "operators": "%s:%d" % (HOST, entry.operators), **entry.options}
        path = self.settings_file(entry.box, settings)
        entry.process = self.start(entry.box, [program("loomjunctiond"), "--config", path])
        self.wait_port(entry.operators)

    def add_agent(self, box, service, upstream_port, data_centre="dfw-a", region="texas",
                  kind="engine", announce=True, **options):
        agent = Agent(box, service, data_centre, region, upstream_port)
        agent.peers = self.ports.block(1)
        agent.kind, agent.options = kind, options
        self.agents.append(agent)
        self.start_agent(agent)
        if announce:
            self.announce([agent])
        return agent

    def start_agent(self, agent):
        settings = self.common_settings(agent)
        settings["role"] = "agent"
        settings["agent"] = {"service": agent.service, "kind": agent.kind,
                             "upstream": "%s:%d" % (HOST, agent.upstream_port), **agent.options}
        path = self.settings_file(agent.box, settings)
        agent.process = self.start(agent.box, [program("loomjunctiond"), "--config", path])
        self.wait_port(agent.peers)

    def announce(self, boxes):
        described = []
        for box in boxes:
            is_entry = isinstance(box, Entry)
            row = {"box": box.box, "dataCentre": box.data_centre, "region": box.region,
                   "role": "entry" if is_entry else "agent", "state": "live",
                   "peers": "%s:%d" % (HOST, box.peers)}
            if is_entry:
                row["callers"] = "%s:%d" % (HOST, box.callers)
            else:
                row["service"] = box.service
            described.append(row)
        request_json(self.list_port, "PUT", "/boxes", described)

    def stop(self):
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes:
            process.child.wait()
        if not self.keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        crashed = [process for process in self.processes if process.child.poll() in CRASHES]
        if kind is not None or crashed:
            self.print_failure()
        self.stop()
        # A crash looks like a cut link to the others, and must not pass for one.
        if crashed and kind is None:
            raise AssertionError("crashed: " + ", ".join(process.name for process in crashed))

    def print_failure(self):
        for process in self.processes:
            lines = process.log_text().splitlines()[-5:]
            if lines:
                print("---- %s" % process.name)
                print("\n".join(lines))

    # ---- operators ----------------------------------------------------------

    def loomctl(self, *arguments, check=True, entries=None):
        chosen = entries if entries is not None else self.entries
        command = [program("loomctl")]
        for entry in chosen:
            command += ["--entry", "%s:%d" % (HOST, entry.operators)]
        command += [str(argument) for argument in arguments]
        environment = dict(os.environ, LOOM_STORE="%s:%d" % (HOST, self.origin_port))
        done = subprocess.run(command, capture_output=True, text=True, env=environment)
        if check and done.returncode != 0:
            raise AssertionError("loomctl %s: exit %d: %s" % (
                " ".join(map(str, arguments)), done.returncode, done.stderr.strip()))
        return done

    def admin(self, entry, target):
        return request_json(entry.operators, "GET", "/admin/" + target)[1]

    def wait_ready(self):
        for entry in self.entries:
            wait_for(entry.box + " sees all agents", lambda e=entry: self.sees_agents(e))

    def sees_agents(self, entry):
        rows = self.admin(entry, "upstreams")["upstreams"]
        seen = {row["box"] for row in rows if row["usable"]}
        return all(agent.box in seen for agent in self.agents)

    def write_weights(self, name, size, seed):
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(random.Random(seed).randbytes(size))
        return path

    def wait_version(self, service, version, seconds=120):
        self.loomctl("model", "status", service, version, "--watch", "--timeout", seconds)
