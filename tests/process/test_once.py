# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""A call that may not be repeated runs at most once, whatever dies or freezes."""

import signal

from common import (basic_lab, call, home_of, in_background, issued_keys, main, own_key,
                    request_json, runs, wait_for)

SERVICE = "exam-app"


def test_repeats_through_other_entries_get_the_first_answer():
    with basic_lab() as lab:
        for number, key in enumerate(issued_keys(lab.entries[0], SERVICE, 4)):
            body = {"id": "issued-%d" % number}
            first = call(lab.entries[0], SERVICE, body, key)
            again = call(lab.entries[1], SERVICE, body, key)
            assert first.status == again.status == 200, (first, again)
            assert first.text == again.text
            assert runs(lab, SERVICE, body["id"]) == 1


def test_a_callers_own_key_meets_one_home_from_two_entries_at_once():
    with basic_lab(plain_options=("--delay-ms", 100)) as lab:
        for number in range(5):
            key, body = own_key(), {"id": "own-%d" % number}
            pending = [in_background(call, entry, SERVICE, body, key) for entry in lab.entries * 3]
            answers = [result() for result in pending]
            assert all(answer.status == 200 for answer in answers), answers
            assert len({answer.text for answer in answers}) == 1
            assert runs(lab, SERVICE, body["id"]) == 1


def test_an_answer_lost_after_the_run_stays_unknown():
    with basic_lab() as lab:
        key = issued_keys(lab.entries[0], SERVICE, 1)[0]
        home = home_of(lab, key)
        request_json(home.upstream_port, "POST", "/control", {"cutAfterRun": 1})
        for entry in lab.entries * 2:
            answer = call(entry, SERVICE, {"id": "lost"}, key)
            assert answer.outcome == "unknown", answer
        assert runs(lab, SERVICE, "lost") == 1


def test_a_killed_home_never_lets_its_key_run_elsewhere():
    with basic_lab(plain_options=("--delay-ms", 1500)) as lab:
        key = issued_keys(lab.entries[0], SERVICE, 1)[0]
        home = home_of(lab, key)
        pending = in_background(call, lab.entries[0], SERVICE, {"id": "killed"}, key)
        wait_for("the call to run", lambda: runs(lab, SERVICE, "killed") == 1)
        home.process.kill()
        assert pending().outcome == "unknown"
        lab.start_agent(home)
        lab.wait_ready()
        for entry in lab.entries:
            answer = call(entry, SERVICE, {"id": "killed"}, key)
            assert answer.outcome == "unknown", answer
        assert runs(lab, SERVICE, "killed") == 1


def test_a_frozen_home_runs_the_key_once_when_it_thaws():
    with basic_lab() as lab:
        key = issued_keys(lab.entries[0], SERVICE, 1)[0]
        home = home_of(lab, key)
        home.process.send(signal.SIGSTOP)
        answer = call(lab.entries[0], SERVICE, {"id": "frozen"}, key, deadline_ms=500)
        assert answer.outcome == "unknown", answer
        home.process.send(signal.SIGCONT)
        lab.wait_ready()
        for entry in lab.entries * 2:
            call(entry, SERVICE, {"id": "frozen"}, key)
        assert runs(lab, SERVICE, "frozen") <= 1


def test_issued_keys_work_while_the_log_is_down_and_own_keys_say_when_to_come_back():
    with basic_lab() as lab:
        keys = issued_keys(lab.entries[0], SERVICE, 2)
        request_json(lab.log_port, "POST", "/control", {"down": True})
        assert call(lab.entries[1], SERVICE, {"id": "outage"}, keys[0]).status == 200
        own = own_key()
        answer = call(lab.entries[0], SERVICE, {"id": "own-outage"}, own)
        assert (answer.outcome, answer.reason) == ("unknown", "not-settled"), answer
        assert int(answer.headers["Retry-After"]) > 0
        assert runs(lab, SERVICE, "own-outage") == 0
        request_json(lab.log_port, "POST", "/control", {"down": False})
        wait_for("the key to be settled",
                 lambda: call(lab.entries[1], SERVICE, {"id": "own-outage"}, own).status == 200)
        assert runs(lab, SERVICE, "own-outage") == 1


def test_a_claim_whose_answer_is_lost_still_binds():
    with basic_lab() as lab:
        request_json(lab.log_port, "POST", "/control", {"loseAnswers": 1})
        key, body = own_key(), {"id": "claim-lost"}
        first = call(lab.entries[0], SERVICE, body, key)
        again = call(lab.entries[1], SERVICE, body, key)
        assert first.status == again.status == 200, (first, again)
        assert runs(lab, SERVICE, "claim-lost") == 1


def test_old_and_odd_keys_never_run():
    with basic_lab() as lab:
        expired = call(lab.entries[0], SERVICE, {"id": "old"}, own_key(age_ms=700000))
        assert (expired.outcome, expired.reason) == ("unknown", "key-expired"), expired
        odd = call(lab.entries[0], SERVICE, {"id": "old"}, "not-a-key")
        assert odd.status == 400 and "Loom-Key" in odd.text, odd
        future = call(lab.entries[0], SERVICE, {"id": "old"}, own_key(age_ms=-900000))
        assert future.status == 400 and "Loom-Key" in future.text, future
        assert runs(lab, SERVICE, "old") == 0


if __name__ == "__main__":
    main(test_repeats_through_other_entries_get_the_first_answer,
         test_a_callers_own_key_meets_one_home_from_two_entries_at_once,
         test_an_answer_lost_after_the_run_stays_unknown,
         test_a_killed_home_never_lets_its_key_run_elsewhere,
         test_a_frozen_home_runs_the_key_once_when_it_thaws,
         test_issued_keys_work_while_the_log_is_down_and_own_keys_say_when_to_come_back,
         test_a_claim_whose_answer_is_lost_still_binds,
         test_old_and_odd_keys_never_run)
