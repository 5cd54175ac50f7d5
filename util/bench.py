# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Benchmarks; see util/run-bench and docs/operators/benchmarks.md."""

import argparse
import json
import os
import random
import re
import signal
import subprocess
import sys
import time

from loomlab import HOST, Lab, build_dir, program, request, request_json, wait_for, whole_digest

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ACCOUNTS = ["center-%02d" % number for number in range(1, 11)]


def emit(**fields):
    print(json.dumps(fields), flush=True)


def note(text):
    print(text, file=sys.stderr, flush=True)


def processor_seconds(process):
    with open("/proc/%d/stat" % process.child.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mib(process):
    with open("/proc/%d/statm" % process.child.pid) as file:
        return int(file.read().split()[1]) * PAGE / 1048576


def set_up(lab, agents, entries=1, engine_options=(), agent_options=None, service="scorer-llm"):
    for number in range(entries):
        lab.add_entry("entry-%d" % (number + 1), "dfw-a")
    wait_for("the log to be followed",
             lambda: all(lab.admin(e, "health")["logReachable"] for e in lab.entries))
    for account in ACCOUNTS:
        lab.loomctl("account", "create", account)
    lab.loomctl("service", "create", service)
    add_replicas(lab, agents, engine_options, agent_options or {}, service)
    lab.wait_ready()


def add_replicas(lab, count, engine_options, agent_options, service):
    ports = lab.engines(count, *engine_options)
    added = []
    for number, port in enumerate(ports):
        added.append(lab.add_agent("box-%03d" % (number + 1), service, port,
                                   ["dfw-a", "hou-a", "sat-a"][number % 3], announce=False,
                                   **agent_options))
    lab.announce(added)


def publish(lab, version, size, seed, service="scorer-llm"):
    path = lab.write_weights(version, size, seed)
    done = lab.loomctl("--json", "model", "publish", service, version, path)
    return json.loads(done.stdout)["wholeDigest"]


def serve_version(lab, version, size=262144, seed=1, service="scorer-llm"):
    digest = publish(lab, version, size, seed, service)
    lab.loomctl("model", "promote", service, version)
    lab.wait_version(service, version)
    return digest


def start_load(lab, *options, name="load"):
    seeds = ",".join("%s:%d" % (HOST, entry.callers) for entry in lab.entries)
    command = [program("loombench"), "load", "--service", "scorer-llm", "--seed-entry", seeds]
    return lab.start("%s-%d" % (name, len(lab.processes)), command + list(options))


def finish(load):
    load.child.wait()
    return json.loads(load.log_text().strip().splitlines()[-1])


def run_load(lab, *options):
    return finish(start_load(lab, *options))


# ---- path -------------------------------------------------------------------

def bench_path(options):
    """Latency that entry and agent add, and requests per second of entry core."""
    with Lab(log_level="warning") as lab:
        set_up(lab, options.agents, agent_options={"capacity": 4096},
               engine_options=("--slots", 4096))
        lab.loomctl("settings", "set", "/", "admission.maxInFlight", "4096")
        digest = serve_version(lab, "v1")
        common = ("--account", ",".join(ACCOUNTS), "--weights", "v1=" + digest, "--tokens", options.tokens)
        if options.stream:
            common += ("--stream",)
        direct = ("--direct", "%s:%d" % (HOST, lab.agents[0].upstream_port),
                  "--direct-version", "v1")
        for concurrency in options.concurrency:
            path_case(lab, options, concurrency, common, direct)


def path_case(lab, options, concurrency, common, direct):
    entry, agent = lab.entries[0].process, lab.agents[0].process
    size = ("--concurrency", concurrency, "--seconds", options.seconds)
    run_load(lab, *common, *size[:2], "--seconds", 0.5)
    before = processor_seconds(entry), processor_seconds(agent)
    whole = run_load(lab, *common, *size)
    spent = processor_seconds(entry) - before[0]
    agent_spent = processor_seconds(agent) - before[1]
    # The added latency is read at half the closed-loop rate, with the base in turn.
    rate = ("--rate", whole["answeredPerSecond"] / 2)
    half = run_load(lab, *common, *size, *rate)
    base = run_load(lab, *common, *size, *rate, *direct)
    emit(bench="path", concurrency=concurrency,
         addedP50Ms=round(half["p50Ms"] - base["p50Ms"], 3),
         addedP95Ms=round(half["p95Ms"] - base["p95Ms"], 3),
         addedP99Ms=round(half["p99Ms"] - base["p99Ms"], 3),
         requestsPerSecondPerCore=round(whole["answered"] / spent),
         requestsPerSecondPerAgentCore=round(whole["answered"] / agent_spent * options.agents)
         if options.agents == 1 else None,
         tokensPerSecondPerCore=round(whole["answered"] * options.tokens / spent),
         stream=options.stream, tokens=options.tokens,
         requestsPerSecond=round(whole["answeredPerSecond"]), bad=whole["bad"],
         halfLoadRate=round(whole["answeredPerSecond"] / 2), baseP50Ms=round(base["p50Ms"], 3),
         baseP99Ms=round(base["p99Ms"], 3))


# ---- config -----------------------------------------------------------------

def offsets_in_force(lab):
    """Configuration offset that each agent says it has folded."""
    offsets = {}
    for entry in lab.entries:
        for row in lab.admin(entry, "upstreams")["upstreams"]:
            if row.get("configOffset") is not None:
                offsets[row["box"]] = max(offsets.get(row["box"], 0), row["configOffset"])
    return offsets


def bench_config(options):
    """Time from accepted to in force on every box, log healthy or down just after."""
    with Lab(log_level="warning") as lab:
        set_up(lab, options.agents, entries=options.entries)
        durations, reverts, last = [], 0, {}
        began, first = time.monotonic(), request_json(lab.log_port, "GET", "/stats")[1]["appends"]
        for number in range(options.changes):
            done = lab.loomctl("--json", "settings", "set", "/", "calls.deadlineMs",
                               str(1000 + number))
            accepted = time.monotonic()
            offset = json.loads(done.stdout)["offset"]
            if options.log_down:
                request_json(lab.log_port, "POST", "/control", {"down": True})

            def in_force():
                nonlocal reverts
                seen = offsets_in_force(lab)
                reverts += sum(1 for box, value in seen.items() if value < last.get(box, 0))
                last.update(seen)
                entries = [lab.admin(entry, "health")["offset"] for entry in lab.entries]
                return (len(seen) == options.agents and min(seen.values()) >= offset
                        and min(entries) >= offset)

            wait_for("change %d in force" % number, in_force, step=0.002)
            durations.append((time.monotonic() - accepted) * 1000)
            if options.log_down:
                request_json(lab.log_port, "POST", "/control", {"down": False})
                wait_for("the log to be back",
                         lambda: all(lab.admin(e, "health")["logReachable"] for e in lab.entries))
        spent = time.monotonic() - began
        appends = request_json(lab.log_port, "GET", "/stats")[1]["appends"] - first
        durations.sort()
        emit(bench="config", agents=options.agents, entries=options.entries,
             logDown=options.log_down, changes=options.changes,
             p50Ms=round(durations[len(durations) // 2], 1), maxMs=round(durations[-1], 1),
             appendsPerSecond=round(appends / spent, 2),
             appendsPerChange=round(appends / options.changes, 2), reverts=reverts)


# ---- control ----------------------------------------------------------------

def metric(entry, name):
    text = request(entry.operators, "GET", "/metrics")[2]
    for line in text.splitlines():
        if line.startswith(name + " "):
            return float(line.split()[-1])
    return 0.0


def bench_control(options):
    """Idle cost of control for each process, and what one change adds."""
    agents = options.processes - options.entries
    with Lab(log_level="warning") as lab:
        set_up(lab, agents, entries=options.entries)
        serve_version(lab, "v1")
        time.sleep(3)
        for changes in (0, options.changes_per_second):
            control_case(lab, options, changes)


def control_case(lab, options, changes):
    groups = {"entry": [entry.process for entry in lab.entries],
              "agent": [agent.process for agent in lab.agents]}
    before = {role: sum(map(processor_seconds, group)) for role, group in groups.items()}
    bytes_before = sum(metric(entry, "loom_peer_bytes") for entry in lab.entries)
    appends_before = request_json(lab.log_port, "GET", "/stats")[1]["appends"]
    began, made = time.monotonic(), 0
    while time.monotonic() - began < options.seconds:
        if changes and made < (time.monotonic() - began) * changes:
            lab.loomctl("settings", "set", "/", "calls.deadlineMs", str(1000 + made))
            made += 1
        else:
            time.sleep(0.02)
    seconds = time.monotonic() - began
    bytes_after = sum(metric(entry, "loom_peer_bytes") for entry in lab.entries)
    appends = request_json(lab.log_port, "GET", "/stats")[1]["appends"] - appends_before
    moved = (bytes_after - bytes_before) / seconds
    for role, group in groups.items():
        spent = sum(map(processor_seconds, group)) - before[role]
        emit(bench="control", role=role, processes=options.processes, entries=options.entries,
             changesPerSecond=round(made / seconds, 2),
             cpuPercent=round(100 * spent / seconds / len(group), 3),
             residentMib=round(max(map(resident_mib, group)), 1),
             # Nearly all of it crosses between entries and agents.
             bytesPerSecond=round(moved / len(group)),
             linksPerProcess=len(lab.agents) if role == "entry" else len(lab.entries),
             messagesPerSecond=round(len(lab.agents) * len(lab.entries) / len(group), 1),
             appendsPerSecond=round(appends / seconds, 2))


# ---- rollout ----------------------------------------------------------------

class Holders:
    """Follows which replicas hold a version, through the entries."""

    def __init__(self, lab, version):
        self.lab, self.version = lab, version

    def boxes(self):
        found = set()
        for entry in self.lab.entries:
            for row in self.lab.admin(entry, "upstreams")["upstreams"]:
                if self.version in row["versions"]:
                    found.add(row["box"])
        return found


def inject(lab, fault, lower_bound, seed):
    """Starts a fault; gives the boxes that need not finish and how to end it."""
    chosen = random.Random(seed)
    if fault == "kill":
        victims = chosen.sample(lab.agents, max(1, len(lab.agents) // 10))
        time.sleep(lower_bound * 0.4)
        for agent in victims:
            agent.process.kill()
        return {agent.box for agent in victims}
    if fault == "stall":
        victim = chosen.choice(lab.agents)
        time.sleep(lower_bound * 0.4)
        victim.process.send(signal.SIGSTOP)
        return {victim.box}
    if fault == "corrupt":
        request_json(lab.origin_port, "POST", "/control", {"corruptPerMille": 20})
    if fault == "origin-down":
        time.sleep(lower_bound * 0.25)
        request_json(lab.origin_port, "POST", "/control", {"down": True})
        time.sleep(lower_bound * 0.5)  # a quarter of the window of two S/B
        request_json(lab.origin_port, "POST", "/control", {"down": False})
    return set()


def slowest_fetch(lab):
    """Of the agents that finished, by their own logs; the rest of the time is loading."""
    slowest = 0
    for agent in lab.agents:
        for line in agent.process.log_text().splitlines():
            if '"weights-fetched"' in line:
                slowest = max(slowest, json.loads(line)["milliseconds"])
    return slowest / 1000


def rollout_once(options, policy, fault):
    size = int(options.model_mib * 1048576)
    lower_bound = size * 8 / (options.link_mbit * 1e6)
    fetch = {"origin-only": "origin", "chain": "chain"}.get(policy, "swarm")
    with Lab(origin_mbit=options.origin_mbit) as lab:
        set_up(lab, options.replicas, entries=options.entries,
               engine_options=("--load-ms", 0),
               agent_options={"linkMbit": options.link_mbit, "fetch": fetch,
                              "engineChecksFence": True})
        copies = 4 if policy == "time-first" else 1
        lab.loomctl("settings", "set", "/", "rollout.originCopies", copies)
        lab.loomctl("settings", "set", "/", "rollout.maxLoadingPercent", options.max_loading)
        path = lab.write_weights("v1", size, options.seed)
        digest = whole_digest(path, options.chunk_kib)
        lab.loomctl("model", "publish", "scorer-llm", "v1", path, "--no-spread",
                    "--chunk-kib", options.chunk_kib)
        request_json(lab.origin_port, "POST", "/control", {"resetCounts": True})
        lab.loomctl("settings", "set", "/service/scorer-llm", "model.version", "v1")
        began = time.monotonic()
        excused = inject(lab, fault, lower_bound, options.seed)
        holders = Holders(lab, "v1")
        wanted = {agent.box for agent in lab.agents} - excused
        wait_for("every live replica holds v1", lambda: wanted <= holders.boxes(), seconds=600,
                 step=0.02)
        seconds = time.monotonic() - began
        sent = request_json(lab.origin_port, "GET", "/stats")[1]["bytesOut"]
        rows = lab.admin(lab.entries[0], "upstreams")["upstreams"]
        check = run_load(lab, "--account", ACCOUNTS[0], "--weights", "v1=" + digest,
                         "--concurrency", 16, "--seconds", 2)
        emit(bench="rollout", policy=policy, replicas=options.replicas,
             modelMib=options.model_mib, linkMbit=options.link_mbit,
             originMbit=options.origin_mbit, seed=options.seed, seconds=round(seconds, 2),
             lowerBoundSeconds=round(lower_bound, 2), ratio=round(seconds / lower_bound, 2),
             originCopies=round(sent / size, 2),
             maxLinkCopies=round(max((row.get("originBytes", 0) + row.get("peerBytes", 0)) / size
                                     for row in rows), 2),
             badChunks=sum(row.get("badChunks", 0) for row in rows), fault=fault,
             slowestFetchSeconds=round(slowest_fetch(lab), 2),
             finished=len(wanted & holders.boxes()), answered=check["answered"],
             badAnswers=check["bad"])


def bench_rollout(options):
    """Seconds until a version is on N replicas, against the lower bound S/B."""
    for policy in options.policy:
        rollout_once(options, policy, options.fault)


# ---- burst ------------------------------------------------------------------

def burst_lab(options, lab, **agent_options):
    """Engines with a fixed room, so that what is offered over it must be refused."""
    set_up(lab, options.replicas, entries=options.entries,
           engine_options=("--slots", 8, "--queue", 0, "--prefill-ms", 20,
                           "--cached-prefill-ms", 8, "--token-ms", 2,
                           "--report-lag-ms", options.report_lag_ms),
           agent_options={"capacity": 8, "engineChecksFence": True, **agent_options})
    # Each entry keeps its part of the engines' slots in flight.
    lab.loomctl("settings", "set", "/", "admission.maxInFlight",
                max(4, options.replicas * 8 // options.entries))


def live_load(lab, options, digests, accounts, rate, *more, concurrency=64, name="live"):
    weights = []
    for version, digest in digests.items():
        weights += ["--weights", "%s=%s" % (version, digest)]
    return start_load(lab, *weights, "--account", ",".join(accounts), "--rate", rate,
                      "--concurrency", concurrency, "--seconds", options.seconds,
                      "--seed", options.seed, "--prefixes", 200, *more, name=name)


def retries_sent(lab):
    total = 0
    for entry in lab.entries:
        text = request(entry.operators, "GET", "/metrics")[2]
        for line in text.splitlines():
            if line.startswith("loom_retries_total"):
                total += float(line.split()[-1])
    return total


def burst_row(case, options, result, **more):
    emit(bench="burst", case=case, seed=options.seed, replicas=options.replicas,
         goodputPerSecond=round(result["answeredPerSecond"], 1), sent=result["sent"],
         answered=result["answered"], notRun=result["notRun"], unknown=result["unknown"],
         bad=result["bad"], p50Ms=round(result["p50Ms"], 2), p95Ms=round(result["p95Ms"], 2),
         p99Ms=round(result["p99Ms"], 2), refusalP99Ms=round(result["refusalP99Ms"], 2),
         reasons=result["reasons"], **more)


def burst_rollout(options):
    """Live latency during a rollout against the same load without one."""
    with Lab(log_level="warning", origin_mbit=options.origin_mbit) as lab:
        burst_lab(options, lab, linkMbit=options.link_mbit)
        digests = {"v1": serve_version(lab, "v1")}
        rate = options.replicas * 8 / 0.03 * 0.5  # half of what the engines can answer
        quiet = finish(live_load(lab, options, digests, ACCOUNTS, rate))
        size = int(options.model_mib * 1048576)
        path = lab.write_weights("v2", size, 2)
        digests["v2"] = whole_digest(path)
        load = live_load(lab, options, digests, ACCOUNTS, rate)
        time.sleep(0.5)
        began = time.monotonic()
        lab.loomctl("model", "publish", "scorer-llm", "v2", path)
        lab.wait_version("scorer-llm", "v2")
        took = time.monotonic() - began
        busy = finish(load)
        burst_row("rollout-base", options, quiet)
        burst_row("rollout", options, busy, rolloutSeconds=round(took, 2),
                  p99Ratio=round(busy["p99Ms"] / quiet["p99Ms"], 3),
                  p95Ratio=round(busy["p95Ms"] / quiet["p95Ms"], 3))


def burst_account(options):
    """One large account offers five times its part; the others keep theirs."""
    with Lab(log_level="warning") as lab:
        burst_lab(options, lab)
        digests = {"v1": serve_version(lab, "v1")}
        room = options.replicas * 8 / 0.03
        small, large = ACCOUNTS[1:], ACCOUNTS[:1]
        base = finish(live_load(lab, options, digests, small, room * 0.4))
        before = retries_sent(lab)
        burst = live_load(lab, options, digests, large, room * 0.2 * 5 * 2, "--ignore-retry-after",
                          concurrency=512, name="large")
        others = finish(live_load(lab, options, digests, small, room * 0.4))
        flood = finish(burst)
        burst_row("account-base", options, base)
        burst_row("account", options, others,
                  othersKeep=round(others["answered"] / max(base["answered"], 1), 3),
                  burstAnswered=flood["answered"], burstSent=flood["sent"],
                  burstRefusalP99Ms=round(flood["refusalP99Ms"], 2),
                  retriesPerRequest=round((retries_sent(lab) - before)
                                          / max(others["sent"] + flood["sent"], 1), 4))


def burst_engine_loss(options):
    """A quarter of the boxes dies under load."""
    with Lab(log_level="warning") as lab:
        burst_lab(options, lab)
        digests = {"v1": serve_version(lab, "v1")}
        rate = options.replicas * 8 / 0.03 * 0.4
        before = retries_sent(lab)
        load = live_load(lab, options, digests, ACCOUNTS, rate)
        time.sleep(options.seconds / 3)
        for agent in lab.agents[:max(1, options.replicas // 4)]:
            agent.process.kill()
        result = finish(load)
        burst_row("engine-loss", options, result,
                  retriesPerRequest=round((retries_sent(lab) - before) / result["sent"], 4))


def burst_routing(options):
    """Prefix affinity against random and least-in-flight choice, same load."""
    for policy in ("random", "least-in-flight", "prefix-affinity"):
        with Lab(log_level="warning") as lab:
            lab.entry_defaults = {"routing": policy}
            burst_lab(options, lab)
            digests = {"v1": serve_version(lab, "v1")}
            rate = options.replicas * 8 / 0.03 * 0.5
            result = finish(live_load(lab, options, digests, ACCOUNTS, rate))
            states = [request_json(agent.upstream_port, "GET", "/v1/state")[1]
                      for agent in lab.agents]
            hits = sum(state["cacheHits"] for state in states)
            served = sum(state["served"] for state in states)
            burst_row("routing", options, result, policy=policy,
                      cacheHitPercent=round(100 * hits / max(served, 1), 1),
                      reportLagMs=options.report_lag_ms)


def bench_burst(options):
    {"rollout": burst_rollout, "account": burst_account, "engine-loss": burst_engine_loss,
     "routing": burst_routing}[options.burst](options)


# ---- once -------------------------------------------------------------------

def bench_once(options):
    """Calls that may run once: keys that name their home against keys claimed in the log."""
    with Lab(log_level="warning") as lab:
        for number in range(options.entries):
            lab.add_entry("entry-%d" % (number + 1), "dfw-a")
        wait_for("the log to be followed",
                 lambda: all(lab.admin(e, "health")["logReachable"] for e in lab.entries))
        lab.loomctl("account", "create", ACCOUNTS[0])
        lab.loomctl("service", "create", "scorer-llm", "--kind", "plain")
        lab.loomctl("settings", "set", "/service/scorer-llm", "calls.repeatable", "false")
        for number, port in enumerate(lab.plain(3, "--delay-ms", 2)):
            lab.add_agent("exam-%d" % (number + 1), "scorer-llm", port, kind="plain")
        lab.wait_ready()
        for log_down in (False, True):
            request_json(lab.log_port, "POST", "/control", {"down": log_down})
            if log_down:
                wait_for("the outage to be seen", lambda: not any(
                    lab.admin(e, "health")["logReachable"] for e in lab.entries))
            for way, flag in (("issued", "--once"), ("claimed", "--own-keys")):
                once_case(lab, options, way, flag, log_down)


def once_case(lab, options, way, flag, log_down):
    before = request_json(lab.log_port, "GET", "/stats")[1]["appends"]
    result = run_load(lab, "--account", ACCOUNTS[0], "--concurrency", 16, "--rate", options.rate,
                      "--seconds", options.seconds, "--deadline-ms", 4000, flag,
                      "--ignore-retry-after", "--seed", 1 + 2 * log_down + (way == "claimed"))
    appends = request_json(lab.log_port, "GET", "/stats")[1]["appends"] - before
    twice = 0
    for agent in lab.agents:
        runs = request_json(agent.upstream_port, "GET", "/runs")[1]["runs"]
        twice += sum(1 for count in runs.values() if count > 1)
    emit(bench="once", way=way, logDown=log_down, entries=options.entries, rate=options.rate,
         sent=result["sent"], answeredPercent=round(100 * result["answered"] / result["sent"], 1),
         p50Ms=round(result["p50Ms"], 2), p99Ms=round(result["p99Ms"], 2),
         refusalP99Ms=round(result["refusalP99Ms"], 2), reasons=result["reasons"],
         appendsPerSecond=round(appends / result["seconds"], 1), ranTwice=twice)


# ---- state ------------------------------------------------------------------

def bench_state(options):
    """Bytes and time for each piece of state that processes keep."""
    done = subprocess.run([program("loombench"), "state", "--services", str(options.services),
                           "--keys", str(options.keys)], capture_output=True, text=True,
                          check=True)
    emit(**json.loads(done.stdout))


COLD_CASES = ["twenty_replicas_that_return_cold_together_get_their_rate_and_no_more",
              "gateways_that_double_within_a_second_do_not_double_what_a_cold_replica_gets",
              "rush_after_a_quiet_time_stays_within_the_bound",
              "shares_by_the_number_of_gateways_exceed_the_bound_of_cold_replicas"]


def bench_cold(options):
    """What cold replicas receive in virtual time: one line for each way, load and number of gateways."""
    done = subprocess.run([os.path.join(build_dir(), "tests", "test_limits"), "--color_output=no",
                           "--log_level=message", "--run_test=" + ",".join(COLD_CASES)],
                          capture_output=True, text=True)
    row = re.compile(r"cold, (\w+), (\d+) gateways, (.+): of bound (\S+), used (\S+), asks (\S+)")
    for way, gateways, load, bound, used, asks in row.findall(done.stdout + done.stderr):
        if int(gateways) in options.gateways:
            emit(bench="cold", way=way, gateways=int(gateways), load=load,
                 mostOfBound=round(float(bound), 3), used=round(float(used), 3),
                 asksPerGateway=round(float(asks), 2))
    if done.returncode != 0:
        note("the tests of the bound failed")
        sys.exit(1)


def main():
    parser = argparse.ArgumentParser()
    cases = parser.add_subparsers(dest="case", required=True)
    path = cases.add_parser("path")
    path.add_argument("--concurrency", type=int, nargs="+", default=[1, 16, 256])
    path.add_argument("--tokens", type=int, default=1)
    path.add_argument("--stream", action="store_true")
    path.add_argument("--agents", type=int, default=1)
    path.add_argument("--seconds", type=float, default=4)
    config = cases.add_parser("config")
    config.add_argument("--agents", type=int, default=16)
    config.add_argument("--entries", type=int, default=6)
    config.add_argument("--changes", type=int, default=20)
    config.add_argument("--log-down", action="store_true")
    control = cases.add_parser("control")
    control.add_argument("--processes", type=int, default=16)
    control.add_argument("--entries", type=int, default=4)
    control.add_argument("--seconds", type=float, default=10)
    control.add_argument("--changes-per-second", type=float, default=5)
    rollout = cases.add_parser("rollout")
    rollout.add_argument("--replicas", type=int, default=12)
    rollout.add_argument("--entries", type=int, default=1)
    rollout.add_argument("--model-mib", type=float, default=16)
    rollout.add_argument("--chunk-kib", type=int, default=128)
    rollout.add_argument("--link-mbit", type=int, default=40)
    rollout.add_argument("--origin-mbit", type=int, default=80)
    rollout.add_argument("--max-loading", type=int, default=100)
    rollout.add_argument("--policy", nargs="+",
                         choices=["time-first", "bytes-first", "origin-only", "chain"],
                         default=["time-first", "bytes-first"])
    rollout.add_argument("--fault", choices=["none", "kill", "stall", "corrupt", "origin-down"],
                         default="none")
    rollout.add_argument("--seed", type=int, default=1)
    burst = cases.add_parser("burst")
    burst.add_argument("--case", dest="burst", default="account",
                       choices=["rollout", "account", "engine-loss", "routing"])
    burst.add_argument("--seed", type=int, default=1)
    burst.add_argument("--replicas", type=int, default=12)
    burst.add_argument("--entries", type=int, default=2)
    burst.add_argument("--seconds", type=float, default=8)
    burst.add_argument("--report-lag-ms", type=int, default=0)
    burst.add_argument("--model-mib", type=float, default=16)
    burst.add_argument("--link-mbit", type=int, default=40)
    burst.add_argument("--origin-mbit", type=int, default=80)
    once = cases.add_parser("once")
    once.add_argument("--entries", type=int, default=2)
    once.add_argument("--rate", type=float, default=300)
    once.add_argument("--seconds", type=float, default=5)
    state = cases.add_parser("state")
    state.add_argument("--services", type=int, default=1000)
    state.add_argument("--keys", type=int, default=50000)
    cold = cases.add_parser("cold")
    cold.add_argument("--gateways", type=int, nargs="+", default=[9, 41, 149])
    options = parser.parse_args()
    {"path": bench_path, "config": bench_config, "control": bench_control,
     "rollout": bench_rollout, "burst": bench_burst, "state": bench_state, "once": bench_once,
     "cold": bench_cold}[options.case](options)


if __name__ == "__main__":
    main()
