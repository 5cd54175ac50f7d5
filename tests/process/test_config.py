# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""An accepted change is in force on every box and never reverts."""

import json
import signal

from common import basic_lab, in_background, main, request_json, wait_for

KEY = "calls.deadlineMs"


def set_value(lab, value, *options, check=True, entries=None):
    return lab.loomctl("--json", *options, "settings", "set", "/", KEY, value, check=check,
                       entries=entries)


def value_at(lab, entry):
    row = lab.admin(entry, "explain?service=exam-app&key=" + KEY)["values"][0]
    return row["value"]


def offsets(lab, entry):
    rows = lab.admin(entry, "upstreams")["upstreams"]
    return {row["box"]: row["configOffset"] for row in rows}


def wait_in_force(lab, offset, entries):
    for entry in entries:
        wait_for("%s at %d" % (entry.box, offset),
                 lambda e=entry: (lab.admin(e, "health")["offset"] or 0) >= offset)
    wait_for("agents at %d" % offset,
             lambda: min(offsets(lab, entries[0]).values()) >= offset)


def log_down(lab, down):
    request_json(lab.log_port, "POST", "/control", {"down": down})


def test_of_two_racing_operators_one_is_told_no():
    with basic_lab() as lab:
        base = lab.admin(lab.entries[0], "state")["offset"]
        racers = [in_background(set_value, lab, 1000 + number, "--base", base, check=False,
                                entries=[lab.entries[number % 2]]) for number in range(6)]
        done = [racer() for racer in racers]
        winners = [number for number, one in enumerate(done) if one.returncode == 0]
        assert len(winners) == 1, [(one.returncode, one.stderr) for one in done]
        assert all(one.returncode == 1 and "race" in one.stderr
                   for number, one in enumerate(done) if number != winners[0])
        for entry in lab.entries:
            wait_for("the winner's value", lambda e=entry: value_at(lab, e) == 1000 + winners[0])


def test_a_lost_answer_from_the_log_makes_one_change():
    with basic_lab() as lab:
        request_json(lab.log_port, "POST", "/control", {"loseAnswers": 1})
        offset = json.loads(set_value(lab, 1234).stdout)["offset"]
        history = lab.admin(lab.entries[0], "history?limit=3")["changes"]
        assert history[0]["accepted"] and history[0]["offset"] == offset
        assert value_at(lab, lab.entries[0]) == 1234


def test_an_outage_right_after_acceptance_holds_nothing_up():
    with basic_lab(entries=4) as lab:
        done = set_value(lab, 2222, entries=[lab.entries[0]])
        log_down(lab, True)
        wait_in_force(lab, json.loads(done.stdout)["offset"], lab.entries)
        refused = set_value(lab, 3333, check=False)
        assert refused.returncode in (3, 4), refused
        # A box that starts now boots from a peer.
        late = lab.add_entry("entry-late", "sat-a")
        wait_for("the late entry to be ready", lambda: lab.admin(late, "health")["ready"])
        assert value_at(lab, late) == 2222


def test_a_new_box_after_the_log_was_trimmed_has_the_whole_state():
    with basic_lab(entries=2, retention_ms=6000) as lab:
        offset = json.loads(set_value(lab, 4444).stdout)["offset"]

        def trimmed():
            status = request_json(lab.log_port, "GET", "/streams/config/records?from=0")[1]
            return status["first"] > offset
        wait_for("the change's own record to expire", trimmed)
        # Nobody is left who could hand it over: only the log's snapshot can.
        for box in lab.entries + lab.agents:
            box.process.kill()
        late = lab.add_entry("entry-late", "sat-a", announce=False)
        wait_for("the late entry to be ready", lambda: lab.admin(late, "health")["ready"])
        assert value_at(lab, late) == 4444


def test_a_frozen_entry_catches_up_and_goes_back_on_nothing():
    with basic_lab(entries=3) as lab:
        set_value(lab, 1)
        frozen = lab.entries[2]
        frozen.process.send(signal.SIGSTOP)
        for value in range(2, 12):
            set_value(lab, value, entries=lab.entries[:2])
        frozen.process.send(signal.SIGCONT)
        seen = []

        def caught_up():
            seen.append(value_at(lab, frozen))
            return seen[-1] == 11
        wait_for("the frozen entry to catch up", caught_up)
        assert seen == sorted(seen), seen


def test_an_entry_that_never_reaches_the_log_follows_and_knows_its_agents():
    with basic_lab(entries=1) as lab:
        blind = lab.add_entry("entry-blind", "hou-a", log_port=lab.ports.block(1))
        lab.wait_ready()
        for value in range(100, 105):
            offset = json.loads(set_value(lab, value, entries=lab.entries[:1]).stdout)["offset"]
            wait_in_force(lab, offset, [blind])
            assert value_at(lab, blind) == value


def test_bad_values_are_refused_and_name_the_field():
    with basic_lab(plain=0) as lab:
        for arguments, word in ((("/", KEY, "0"), KEY), (("/", "no.such", "1"), "no.such"),
                                (("/nowhere", KEY, "5"), "/nowhere"),
                                (("/service/none", KEY, "5"), "none")):
            done = lab.loomctl("settings", "set", *arguments, check=False)
            assert done.returncode in (1, 2) and word in done.stderr, (arguments, done)
        status, answer = request_json(lab.entries[0].operators, "POST", "/admin/changes", {"a": 1})
        assert status == 400 and "changeId" in answer["error"]


if __name__ == "__main__":
    main(test_of_two_racing_operators_one_is_told_no,
         test_a_lost_answer_from_the_log_makes_one_change,
         test_an_outage_right_after_acceptance_holds_nothing_up,
         test_a_new_box_after_the_log_was_trimmed_has_the_whole_state,
         test_a_frozen_entry_catches_up_and_goes_back_on_nothing,
         test_an_entry_that_never_reaches_the_log_follows_and_knows_its_agents,
         test_bad_values_are_refused_and_name_the_field)
