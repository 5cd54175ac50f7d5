# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Planned stops cut nothing; what leaves gets no new work."""

import signal

from common import (basic_lab, call, in_background, issued_keys, main, request_json, runs,
                    wait_for)

SERVICE = "exam-app"


def test_a_stopped_agent_finishes_its_calls_and_gets_no_new_ones():
    # Calls run for longer than the agent's grace after it says that it leaves.
    with basic_lab(plain_options=("--delay-ms", 4000)) as lab:
        leaver = lab.agents[0]
        pending = [in_background(call, lab.entries[n % 2], SERVICE, {"id": "p%d" % n})
                   for n in range(24)]
        wait_for("all calls to run", lambda: all(
            runs(lab, SERVICE, "p%d" % n) for n in range(24)))
        before = request_json(leaver.upstream_port, "GET", "/runs")[1]["runs"]
        assert before, "the leaving agent had calls in flight"
        leaver.process.send(signal.SIGTERM)
        for entry in lab.entries:
            wait_for("the entry to see it leave", lambda e=entry: any(
                row["box"] == leaver.box and row["leaving"]
                for row in lab.admin(e, "upstreams")["upstreams"]))
        after = [call(lab.entries[n % 2], SERVICE, {"id": "a%d" % n}) for n in range(6)]
        assert all(answer.status == 200 for answer in after), after
        assert all(result().status == 200 for result in pending)
        wait_for("the agent to end", lambda: leaver.process.child.poll() is not None)
        assert leaver.process.child.returncode == 0
        now = request_json(leaver.upstream_port, "GET", "/runs")[1]["runs"]
        assert set(now) == set(before), "new work went to a leaving agent"


def test_a_box_that_the_list_calls_leaving_gets_no_new_work():
    with basic_lab() as lab:
        leaver = lab.agents[0]
        request_json(lab.list_port, "POST", "/boxes/%s/leaving" % leaver.box)
        for entry in lab.entries:
            wait_for("the entry to see the list", lambda e=entry: any(
                row["box"] == leaver.box and row["leaving"]
                for row in lab.admin(e, "upstreams")["upstreams"]))
        for number in range(30):
            assert call(lab.entries[number % 2], SERVICE, {"id": "n%d" % number}).status == 200
        assert not request_json(leaver.upstream_port, "GET", "/runs")[1]["runs"]


def test_a_key_at_a_leaving_home_is_answered_for_good():
    with basic_lab(plain_options=("--delay-ms", 1500)) as lab:
        first, second = issued_keys(lab.entries[0], SERVICE, 64)[:2]
        home = next(a for a in lab.agents if a.box == first.split(":")[2])
        keys = [k for k in issued_keys(lab.entries[0], SERVICE, 64) if k.split(":")[2] == home.box]
        pending = in_background(call, lab.entries[0], SERVICE, {"id": "ran"}, keys[0])
        wait_for("the call to run", lambda: runs(lab, SERVICE, "ran") == 1)
        home.process.send(signal.SIGTERM)
        wait_for("the agent to leave", lambda: "agent-leaving" in home.process.log_text())
        refused = call(lab.entries[1], SERVICE, {"id": "refused"}, keys[1])
        assert refused.outcome == "not-run" and refused.headers["Loom-Key-Spent"] == "1", refused
        # What ran is answered so, even by a leaving home.
        assert call(lab.entries[1], SERVICE, {"id": "ran"}, keys[0]).status == 200
        assert pending().status == 200
        assert runs(lab, SERVICE, "refused") == 0 and runs(lab, SERVICE, "ran") == 1


def test_a_drained_entry_serves_callers_that_hold_its_address():
    with basic_lab(entries=3, plain_options=("--delay-ms", 500)) as lab:
        lab.loomctl("settings", "set", "/", "addresses.lifetimeMs", "3000")
        leaver = lab.entries[0]
        others = lab.entries[1:]
        pending = in_background(call, leaver, SERVICE, {"id": "inflight"})
        wait_for("the call to run", lambda: runs(lab, SERVICE, "inflight") == 1)
        lab.loomctl("entry", "drain", entries=[leaver])
        address = "127.0.0.1:%d" % leaver.callers

        def named(entry):
            target = "/v1/addresses?service=exam-app&account=center-01&count=9"
            return address in request_json(entry.callers, "GET", target)[1]["addresses"]
        wait_for("the others to stop naming it", lambda: not any(map(named, others)))
        # A caller with an old answer is still served.
        assert call(leaver, SERVICE, {"id": "old-address"}).status == 200
        assert pending().status == 200
        wait_for("the entry to end", lambda: leaver.process.child.poll() is not None)
        assert leaver.process.child.returncode == 0


def test_a_second_signal_stops_at_once():
    with basic_lab(entries=1) as lab:
        lab.loomctl("settings", "set", "/", "addresses.lifetimeMs", "3600000")
        entry = lab.entries[0]
        entry.process.send(signal.SIGTERM)
        wait_for("draining", lambda: "entry-draining" in entry.process.log_text())
        entry.process.send(signal.SIGTERM)
        wait_for("the end", lambda: entry.process.child.poll() is not None)


if __name__ == "__main__":
    main(test_a_stopped_agent_finishes_its_calls_and_gets_no_new_ones,
         test_a_box_that_the_list_calls_leaving_gets_no_new_work,
         test_a_key_at_a_leaving_home_is_answered_for_good,
         test_a_drained_entry_serves_callers_that_hold_its_address,
         test_a_second_signal_stops_at_once)
