# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Bad input gets a clear typed error that names the field; nothing is lost or hangs."""

import json
import os
import socket
import subprocess
import tempfile

from common import basic_lab, call, main, request, request_json
from loomlab import HOST, program

SERVICE = "exam-app"


def test_bad_requests_are_refused_with_the_field():
    with basic_lab(entries=1, engines=1) as lab:
        entry = lab.entries[0]
        cases = [
            (404, "unknown-service", "nowhere", dict(service="nowhere", body={})),
            (403, "unknown-account", "Loom-Account", dict(service=SERVICE, body={},
                                                          account="nobody")),
            (400, "bad-request", "Loom-Deadline-Ms", dict(service=SERVICE, body={},
                                                          deadline_ms="soon")),
            (504, "deadline-passed", "Loom-Deadline-Ms", dict(service=SERVICE, body={},
                                                              deadline_ms=0)),
            (400, "bad-request", "Loom-Priority", dict(service=SERVICE, body={},
                                                       Loom_Priority="high")),
            (400, "bad-request", "Loom-Key", dict(service=SERVICE, body={}, key="x")),
            (400, "bad-request", "body", dict(service="scorer-llm", body="{broken")),
        ]
        for status, reason, word, arguments in cases:
            answer = call(entry, arguments.pop("service"), arguments.pop("body"), **arguments)
            assert (answer.status, answer.reason) == (status, reason), answer
            assert answer.outcome == "not-run" and word in answer.text, answer
        assert call(entry, SERVICE, {"id": "still"}).status == 200


def test_oversized_requests_are_refused():
    with basic_lab(entries=1) as lab:
        entry = lab.entries[0]
        path = "/v1/services/%s/calls" % SERVICE
        head = "POST %s HTTP/1.1\r\nHost: x\r\n" % path
        for expected, text in (("413", head + "Content-Length: 5242880\r\n\r\n"),
                               ("431", head + "X-Long: " + "y" * 17000)):
            with socket.create_connection((HOST, entry.callers), timeout=30) as sender:
                sender.sendall(text.encode())
                answer = sender.recv(4096).decode()
                assert answer.split()[1] == expected, answer
        assert call(entry, SERVICE, {"id": "still"}).status == 200


def test_a_service_without_upstreams_refuses_at_once():
    with basic_lab(entries=1, engines=1) as lab:
        answer = call(lab.entries[0], "scorer-llm", {"id": "x", "prompt": "p"}, deadline_ms=60000)
        assert answer.outcome == "not-run" and answer.status == 503, answer
        assert int(answer.headers["Retry-After"]) > 0


def test_settings_files_are_checked():
    with basic_lab(entries=1, plain=0) as lab:
        path = os.path.join(lab.folder, "entry-1.json")
        with open(path) as file:
            good = json.load(file)

        def check(change):
            value = json.loads(json.dumps(good))
            change(value)
            with open(path + ".bad", "w") as file:
                json.dump(value, file)
            done = subprocess.run([program("loomjunctiond"), "--check", "--config", path + ".bad"],
                                  capture_output=True, text=True)
            return done.returncode, done.stderr

        assert check(lambda v: None)[0] == 0
        code, text = check(lambda v: v.update(role="boss", extra=1))
        assert code == 2 and "'role'" in text and "'extra'" in text, text
        code, text = check(lambda v: v["platform"].update(log="nowhere"))
        assert code == 2 and "'platform.log'" in text and "nowhere" in text, text
        code, text = check(lambda v: v["entry"].pop("callers"))
        assert code == 2 and "'entry.callers'" in text and "found nothing" in text, text
        missing = subprocess.run([program("loomjunctiond"), "--config", path + ".none"],
                                 capture_output=True, text=True)
        assert missing.returncode == 2 and ".none" in missing.stderr


def test_answer_limits_of_a_gateway_are_checked():
    good = {"role": "gateway", "box": "g1", "dataCentre": "z1", "region": "r1", "peers": "127.0.0.1:1",
            "store": "127.0.0.1:2", "gateway": {"callers": "127.0.0.1:3", "readiness": "127.0.0.1:4",
                                                "addresses": "127.0.0.1:5"}}
    with tempfile.TemporaryDirectory() as folder:
        def check(answers):
            path = os.path.join(folder, "settings.json")
            with open(path, "w") as file:
                json.dump({**good, "gateway": {**good["gateway"], "answers": answers}}, file)
            done = subprocess.run([program("loomjunctiond"), "--check", "--config", path],
                                  capture_output=True, text=True)
            return done.returncode, done.stderr

        assert check({"eventBytes": 4096, "unfinishedMs": 500})[0] == 0
        for field, value in (("eventBytes", 10), ("headBytes", "x"), ("heldBytes", -1), ("odd", 1)):
            code, text = check({field: value})
            assert code == 2 and "'gateway.answers.%s'" % field in text, text


def test_bounds_of_clients_are_checked():
    good = {"role": "gateway", "box": "g1", "dataCentre": "z1", "region": "r1", "peers": "127.0.0.1:1",
            "store": "127.0.0.1:2", "gateway": {"callers": "127.0.0.1:3", "readiness": "127.0.0.1:4",
                                                "addresses": "127.0.0.1:5"}}
    with tempfile.TemporaryDirectory() as folder:
        def check(group, fields):
            path = os.path.join(folder, "settings.json")
            with open(path, "w") as file:
                json.dump({**good, group: fields}, file)
            done = subprocess.run([program("loomjunctiond"), "--check", "--config", path],
                                  capture_output=True, text=True)
            return done.returncode, done.stderr

        assert check("machine", {"memoryMb": 160, "descriptors": 4100})[0] == 0
        assert check("machine", {"memoryMb": 160.5})[0] == 0
        assert check("clients", {"heldBytes": 10_000_000, "connections": 500})[0] == 0
        for group, field, value in (("machine", "memoryMb", 1), ("machine", "descriptors", "x"),
                                    ("machine", "odd", 1), ("clients", "heldBytes", 10),
                                    ("clients", "connections", 0), ("clients", "odd", 1)):
            code, text = check(group, {field: value})
            assert code == 2 and "'%s.%s'" % (group, field) in text, text


def test_metrics_and_logs_have_their_names():
    with basic_lab(entries=1, plain=0, log_level="debug") as lab:
        entry = lab.entries[0]
        lab.loomctl("service", "create", SERVICE, "--kind", "plain")
        port = lab.ports.block(1)
        lab.add_agent("exam-1", SERVICE, lab.plain(1)[0], kind="plain",
                      operators="%s:%d" % (HOST, port))
        lab.wait_ready()
        answer = call(entry, SERVICE, {"id": "traced"})
        text = request(entry.operators, "GET", "/metrics")[2]
        assert 'loom_calls_total{of="answered"} 1' in text, text
        assert 'loom_call_milliseconds{of="exam-app",quantile="0.95"}' in text, text
        text = request(port, "GET", "/metrics")[2]
        assert 'loom_agent_calls_total{of="answered"} 1' in text, text
        health = request_json(port, "GET", "/admin/health")[1]
        assert health["upstreamAlive"] and not health["leaving"], health
        # One request id through entry and agent.
        wanted = '"request":"%s"' % answer.headers["Loom-Request-Id"]
        logs = [p for p in lab.processes if wanted in p.log_text()]
        assert {p.name for p in logs} >= {entry.box}
        assert any(p.name.startswith("exam-") for p in logs)
        for line in entry.process.log_text().splitlines():
            assert {"time", "level", "box", "event"} <= set(json.loads(line))
        assert request_json(entry.operators, "GET", "/admin/health")[1]["ready"]


if __name__ == "__main__":
    main(test_bad_requests_are_refused_with_the_field,
         test_oversized_requests_are_refused,
         test_a_service_without_upstreams_refuses_at_once,
         test_settings_files_are_checked,
         test_answer_limits_of_a_gateway_are_checked,
         test_bounds_of_clients_are_checked,
         test_metrics_and_logs_have_their_names)
