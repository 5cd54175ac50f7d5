# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Cut and stalled links between an entry and an agent: what callers are told is true."""

from common import (Relay, basic_lab, call, in_background, issued_keys, main, runs, wait_for)

SERVICE = "exam-app"


def lab_with_relay(**options):
    """One entry that reaches its only agent over a relay."""
    lab = basic_lab(entries=1, plain=1, **options)
    agent = lab.agents[0]
    relay = Relay(agent.peers)
    agent.peers = relay.port
    lab.announce([agent])

    def goes_over_relay():
        return len(relay.pairs) >= 1 and lab.sees_agents(lab.entries[0])
    wait_for("the link over the relay", goes_over_relay)
    return lab, relay


def test_a_call_cut_while_it_runs_is_unknown_and_runs_once():
    lab, relay = lab_with_relay(plain_options=("--delay-ms", 1000))
    with lab:
        key = issued_keys(lab.entries[0], SERVICE, 1)[0]
        pending = in_background(call, lab.entries[0], SERVICE, {"id": "cut"}, key)
        wait_for("the call to run", lambda: runs(lab, SERVICE, "cut") == 1)
        relay.cut()
        assert pending().outcome == "unknown"
        wait_for("its kept answer",
                 lambda: call(lab.entries[0], SERVICE, {"id": "cut"}, key).status == 200)
        assert runs(lab, SERVICE, "cut") == 1


def test_what_was_called_not_run_does_not_run_when_it_arrives_late():
    lab, relay = lab_with_relay()
    with lab:
        relay.hold()
        answer = call(lab.entries[0], SERVICE, {"id": "late"}, deadline_ms=400)
        assert answer.outcome == "not-run", answer
        relay.release()
        # The link works again, and what was held has been read before this.
        wait_for("another call", lambda: call(lab.entries[0], SERVICE, {"id": "x"}).status == 200)
        assert runs(lab, SERVICE, "late") == 0


def test_a_streamed_answer_that_is_cut_never_looks_whole():
    import http.client
    import json
    from loomlab import HOST
    lab = basic_lab(entries=1, plain=0, engines=1, engine_options=("--token-ms", 50))
    with lab:
        path = lab.write_weights("v1", 300000, 1)
        lab.loomctl("model", "publish", "scorer-llm", "v1", path)
        lab.loomctl("model", "promote", "scorer-llm", "v1")
        lab.wait_version("scorer-llm", "v1")
        connection = http.client.HTTPConnection(HOST, lab.entries[0].callers, timeout=30)
        body = json.dumps({"id": "s", "prompt": "p", "maxTokens": 60, "stream": True})
        connection.request("POST", "/v1/services/scorer-llm/calls", body,
                           {"Loom-Account": "center-01", "Loom-Stream": "1"})
        response = connection.getresponse()
        assert response.read(20)
        lab.agents[0].process.kill()
        try:
            response.read()
            raise AssertionError("a cut answer was passed off as whole")
        except (http.client.IncompleteRead, ConnectionError):
            pass


def test_many_streamed_answers_at_once_are_whole():
    lab = basic_lab(entries=1, plain=0, engines=2, engine_options=("--token-ms", 2))
    with lab:
        path = lab.write_weights("v1", 300000, 1)
        lab.loomctl("model", "publish", "scorer-llm", "v1", path)
        lab.loomctl("model", "promote", "scorer-llm", "v1")
        lab.wait_version("scorer-llm", "v1")
        pending = []
        for number in range(24):
            body = {"id": "s%d" % number, "prompt": "p", "maxTokens": 40, "stream": True}
            pending.append(in_background(call, lab.entries[0], "scorer-llm", body, Loom_Stream="1"))
        for number, result in enumerate(pending):
            value = result().json()
            assert value["request"] == "s%d" % number, value
            assert value["tokens"] == ["t%d" % token for token in range(40)], value


if __name__ == "__main__":
    main(test_many_streamed_answers_at_once_are_whole,
         test_a_call_cut_while_it_runs_is_unknown_and_runs_once,
         test_what_was_called_not_run_does_not_run_when_it_arrives_late,
         test_a_streamed_answer_that_is_cut_never_looks_whole)
