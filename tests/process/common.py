# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Shared by the process tests: a small runner, callers, and a relay that cuts links."""

import json
import random
import socket
import sys
import threading
import time
import traceback
import uuid

from loomlab import HOST, Lab, request, request_json, wait_for, whole_digest  # noqa: F401

ACCOUNT = "center-01"


class Answer:
    """What a caller got."""

    def __init__(self, status, headers, text):
        self.status, self.headers, self.text = status, headers, text
        self.outcome = headers.get("Loom-Outcome", "")
        self.reason = headers.get("Loom-Reason", "")

    def json(self):
        return json.loads(self.text)

    def __repr__(self):
        return "%d %s %s %s" % (self.status, self.outcome, self.reason, self.text[:120])


def call(entry, service, body, key=None, deadline_ms=10000, account=ACCOUNT, **headers):
    sent = {"Loom-Account": account, "Loom-Deadline-Ms": str(deadline_ms)}
    if key:
        sent["Loom-Key"] = key
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    text = body if isinstance(body, (str, bytes)) else json.dumps(body)
    return Answer(*request(entry.callers, "POST", "/v1/services/%s/calls" % service, text, sent,
                           timeout=60))


def in_background(function, *arguments, **named):
    """Runs a call on a thread; result() waits for it."""
    box = {}

    def run():
        try:
            box["value"] = function(*arguments, **named)
        except Exception as error:  # handed to the waiting test
            box["error"] = error

    thread = threading.Thread(target=run)
    thread.start()

    def result():
        thread.join()
        if "error" in box:
            raise box["error"]
        return box["value"]

    return result


def issued_keys(entry, service, count):
    target = "/v1/addresses?service=%s&account=%s&keys=%d" % (service, ACCOUNT, count)
    return request_json(entry.callers, "GET", target)[1]["keys"]


def own_key(age_ms=0):
    """A UUIDv7 as a caller makes it."""
    born = int(time.time() * 1000) - age_ms
    value = (born << 80) | (7 << 76) | (random.getrandbits(12) << 64) | (2 << 62)
    return str(uuid.UUID(int=value | random.getrandbits(62)))


def home_of(lab, key):
    box = key.split(":")[2]
    return next(agent for agent in lab.agents if agent.box == box)


def runs(lab, service, call_id):
    """How often the upstreams of a plain service ran a call."""
    total = 0
    for agent in lab.agents:
        if agent.service == service:
            counts = request_json(agent.upstream_port, "GET", "/runs")[1]["runs"]
            total += counts.get(call_id, 0)
    return total


def basic_lab(entries=2, plain=3, engines=0, plain_options=(), engine_options=(),
              agent_options=None, **lab_options):
    lab = Lab(**lab_options)
    try:
        fill_lab(lab, entries, plain, engines, plain_options, engine_options, agent_options or {})
    except BaseException:
        lab.__exit__(*sys.exc_info())
        raise
    return lab


def fill_lab(lab, entries, plain, engines, plain_options, engine_options, agent_options):
    places = ["dfw-a", "hou-a", "sat-a"]
    for number in range(entries):
        lab.add_entry("entry-%d" % (number + 1), places[number % 3])
    wait_for("the log to be followed",
             lambda: all(lab.admin(e, "health")["logReachable"] for e in lab.entries))
    lab.loomctl("account", "create", ACCOUNT)
    if plain:
        lab.loomctl("service", "create", "exam-app", "--kind", "plain")
        lab.loomctl("settings", "set", "/service/exam-app", "calls.repeatable", "false")
        for number, port in enumerate(lab.plain(plain, *plain_options)):
            lab.add_agent("exam-%d" % (number + 1), "exam-app", port, places[number % 3],
                          kind="plain")
    if engines:
        lab.loomctl("service", "create", "scorer-llm")
        for number, port in enumerate(lab.engines(engines, *engine_options)):
            lab.add_agent("scorer-%d" % (number + 1), "scorer-llm", port, places[number % 3],
                          **agent_options)
    lab.wait_ready()


class Relay:
    """Forwards TCP to a port; can cut every connection, or hold what goes in."""

    def __init__(self, port):
        self.target = port
        self.pairs = []
        self.holding = False
        self.held = []
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                inner, _ = self.listener.accept()
                outer = socket.create_connection((HOST, self.target))
            except OSError:
                return
            pair = {"in": inner, "out": outer, "held": False}
            self.pairs.append(pair)
            threading.Thread(target=self.pump, args=(pair, "in", "out"), daemon=True).start()
            threading.Thread(target=self.pump, args=(pair, "out", "in"), daemon=True).start()

    def pump(self, pair, source, sink):
        try:
            while data := pair[source].recv(65536):
                with self.lock:
                    if source == "in" and pair["held"]:
                        self.held.append((pair[sink], data))
                        continue
                pair[sink].sendall(data)
        except OSError:
            pass
        if source == "in" and pair["held"]:
            return  # its bytes may still be delivered
        self.close(pair)

    @staticmethod
    def close(pair):
        for end in ("in", "out"):
            try:
                pair[end].close()
            except OSError:
                pass

    def cut(self):
        """Cuts all connections that are open now."""
        for pair in self.pairs:
            for end in ("in", "out"):
                try:
                    pair[end].shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            self.close(pair)

    def hold(self):
        """From now on, what comes in on the connections open now is kept back."""
        with self.lock:
            for pair in self.pairs:
                pair["held"] = True

    def release(self):
        """Delivers what was kept back, late."""
        with self.lock:
            for sink, data in self.held:
                try:
                    sink.sendall(data)
                except OSError:
                    pass
            self.held = []


def main(*tests):
    """Runs each test; prints what a test runner can read."""
    failed = 0
    for test in tests:
        try:
            test()
            print("ok    %s" % test.__name__, flush=True)
        except Exception:
            failed += 1
            print("FAIL  %s" % test.__name__, flush=True)
            traceback.print_exc()
    print("%d passed, %d failed" % (len(tests) - failed, failed), flush=True)
    sys.exit(1 if failed else 0)
