# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Answers come from whole weights of one version, whatever happens to a rollout."""

import signal

from common import basic_lab, call, in_background, main, request_json, wait_for, whole_digest

SERVICE = "scorer-llm"
SIZE = 4 * 1024 * 1024


def lab_serving_v1(engines=4, agent_options=None, engine_options=("--load-ms", 50), **options):
    chosen = {"linkMbit": 40, "engineChecksFence": True}
    chosen.update(agent_options or {})
    lab = basic_lab(entries=2, plain=0, engines=engines, engine_options=engine_options,
                    agent_options=chosen, **options)
    lab.digests = {}
    publish(lab, "v1", 1)
    lab.loomctl("model", "promote", SERVICE, "v1")
    lab.wait_version(SERVICE, "v1")
    return lab


def publish(lab, version, seed):
    path = lab.write_weights(version, SIZE, seed)
    lab.digests[version] = whole_digest(path)
    lab.loomctl("model", "publish", SERVICE, version, path)


def check_answers(lab, count=40):
    """Every answer is whole, its own, and of one version; gives the versions seen."""
    versions = set()
    for number in range(count):
        entry = lab.entries[number % len(lab.entries)]
        body = {"id": "q%d" % number, "prompt": "essay %d" % number, "maxTokens": 3}
        answer = call(entry, SERVICE, body)
        assert answer.status == 200, answer
        value = answer.json()
        assert value["request"] == body["id"] and len(value["tokens"]) == 3, answer
        assert value["version"] == answer.headers["Loom-Version"], answer
        assert lab.digests[value["version"]] == value["weights"], answer
        versions.add(value["version"])
    return versions


def upstream_rows(lab):
    return lab.admin(lab.entries[0], "upstreams")["upstreams"]


def fetched(lab):
    return sum(row["fetchedChunks"] for row in upstream_rows(lab) if row["fetching"] == "v2")


def test_corrupt_chunks_are_dropped_and_fetched_again():
    with lab_serving_v1() as lab:
        request_json(lab.origin_port, "POST", "/control", {"corruptPerMille": 300})
        publish(lab, "v2", 2)
        wait_for("a corrupt chunk", lambda: sum(row["badChunks"] for row in upstream_rows(lab)))
        lab.wait_version(SERVICE, "v2")
        lab.loomctl("model", "promote", SERVICE, "v2")
        wait_for("v2 to serve", lambda: check_answers(lab) == {"v2"})


def test_a_box_killed_while_fetching_holds_nobody_up():
    with lab_serving_v1() as lab:
        publish(lab, "v2", 2)
        wait_for("v2 to be on its way", lambda: fetched(lab) > 4)
        victim = lab.agents[1]
        victim.process.kill()
        others = {agent.box for agent in lab.agents} - {victim.box}

        def on_the_others():
            holding = {row["box"] for row in upstream_rows(lab) if "v2" in row["versions"]}
            return others <= holding
        wait_for("v2 on the others", on_the_others)
        assert check_answers(lab) == {"v1"}
        lab.start_agent(victim)
        lab.wait_version(SERVICE, "v2")
        lab.loomctl("model", "promote", SERVICE, "v2")
        wait_for("v2 to serve", lambda: check_answers(lab) == {"v2"})


def test_a_version_superseded_on_its_way_is_never_loaded():
    with lab_serving_v1() as lab:
        publish(lab, "v2", 2)
        wait_for("v2 to be on its way", lambda: fetched(lab) > 4)
        publish(lab, "v3", 3)
        lab.wait_version(SERVICE, "v3")
        for agent in lab.agents:
            state = request_json(agent.upstream_port, "GET", "/v1/state")[1]
            assert "v2" not in {one["version"] for one in state["loaded"]}, state
        lab.loomctl("model", "promote", SERVICE, "v3")
        wait_for("v3 to serve", lambda: check_answers(lab) == {"v3"})


def test_rolling_back_serves_the_version_before_at_once():
    with lab_serving_v1() as lab:
        publish(lab, "v2", 2)
        lab.wait_version(SERVICE, "v2")
        lab.loomctl("model", "promote", SERVICE, "v2")
        wait_for("v2 to serve", lambda: check_answers(lab, 10) == {"v2"})
        sent = request_json(lab.origin_port, "GET", "/stats")[1]["bytesOut"]
        lab.loomctl("model", "rollback", SERVICE)
        wait_for("v1 to serve", lambda: check_answers(lab, 10) == {"v1"})
        assert request_json(lab.origin_port, "GET", "/stats")[1]["bytesOut"] == sent


def test_an_engine_that_restarts_is_loaded_again_and_never_answers_empty():
    with lab_serving_v1() as lab:
        for agent in lab.agents[:2]:
            request_json(agent.upstream_port, "POST", "/control", {"restart": True})
            assert check_answers(lab, 20) == {"v1"}
        lab.wait_version(SERVICE, "v1")


def test_an_origin_outage_only_delays():
    with lab_serving_v1() as lab:
        request_json(lab.origin_port, "POST", "/control", {"down": True})
        path = lab.write_weights("v2", SIZE, 2)
        done = lab.loomctl("model", "publish", SERVICE, "v2", path, check=False)
        assert done.returncode == 1 and "origin is down" in done.stderr, done
        request_json(lab.origin_port, "POST", "/control", {"down": False})
        publish(lab, "v2", 2)
        wait_for("v2 to be on its way", lambda: fetched(lab) > 0)
        request_json(lab.origin_port, "POST", "/control", {"down": True})
        assert check_answers(lab) == {"v1"}
        request_json(lab.origin_port, "POST", "/control", {"down": False})
        lab.wait_version(SERVICE, "v2")


def test_a_replaced_agent_waits_out_the_lease_of_a_frozen_one():
    """The engine ignores fencing numbers, so time alone keeps the two apart."""
    lab = lab_serving_v1(engines=1, agent_options={"engineChecksFence": False},
                         engine_options=("--ignore-fence", "--load-ms", 50))
    with lab:
        frozen = lab.agents[0]
        old = frozen.process
        old.send(signal.SIGSTOP)
        frozen.peers = lab.ports.block(1)
        lab.start_agent(frozen)
        lab.announce([frozen])
        publish(lab, "v2", 2)
        lab.wait_version(SERVICE, "v2")
        fence = request_json(frozen.upstream_port, "GET", "/v1/state")[1]["highestFence"]
        old.send(signal.SIGCONT)
        publish(lab, "v3", 3)
        lab.wait_version(SERVICE, "v3")
        state = request_json(frozen.upstream_port, "GET", "/v1/state")[1]
        assert state["highestFence"] >= fence
        orders = [line for line in old.log_text().splitlines()
                  if '"event":"order"' in line and '"version":"v3"' in line]
        # Both lives write to one log file; only the new one may order v3.
        assert len(orders) == 1, orders
        lab.loomctl("model", "promote", SERVICE, "v3")
        wait_for("v3 to serve", lambda: check_answers(lab, 5) == {"v3"})


def test_answers_stay_whole_while_versions_come_and_go():
    with lab_serving_v1() as lab:
        stop = []

        def ask():
            seen = set()
            while not stop:
                seen |= check_answers(lab, 10)
            return seen
        pending = in_background(ask)
        try:
            for number in (2, 3):
                version = "v%d" % number
                publish(lab, version, number)
                lab.wait_version(SERVICE, version)
                lab.loomctl("model", "promote", SERVICE, version)
            lab.loomctl("model", "rollback", SERVICE)
            wait_for("v2 again", lambda: check_answers(lab, 5) == {"v2"})
        finally:
            stop.append(True)
        assert {"v1", "v2"} <= pending()


def test_promotions_faster_than_transfers_leave_the_old_version_serving():
    with lab_serving_v1(agent_options={"linkMbit": 10}) as lab:
        for number in (2, 3):
            publish(lab, "v%d" % number, number)
            lab.loomctl("model", "promote", SERVICE, "v%d" % number)
            assert check_answers(lab, 10) == {"v1"}
        lab.wait_version(SERVICE, "v3")
        wait_for("v3 to serve", lambda: check_answers(lab, 10) == {"v3"})


if __name__ == "__main__":
    main(test_promotions_faster_than_transfers_leave_the_old_version_serving,
         test_corrupt_chunks_are_dropped_and_fetched_again,
         test_a_box_killed_while_fetching_holds_nobody_up,
         test_a_version_superseded_on_its_way_is_never_loaded,
         test_rolling_back_serves_the_version_before_at_once,
         test_an_engine_that_restarts_is_loaded_again_and_never_answers_empty,
         test_an_origin_outage_only_delays,
         test_a_replaced_agent_waits_out_the_lease_of_a_frozen_one,
         test_answers_stay_whole_while_versions_come_and_go)
