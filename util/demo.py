# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""The main job, end to end, in separate processes; see util/run-demo."""

import argparse
import json
import signal
import sys
import time

from loomlab import HOST, Lab, program, request_json, wait_for, whole_digest

DATA_CENTRES = ["dfw-a", "hou-a", "sat-a"]
ACCOUNTS = ["center-%02d" % number for number in range(1, 11)]


def say(text):
    print(text, flush=True)


def build_deployment(lab, size_mib):
    """Bluebonnet's sizes of today."""
    for number in range(6):
        lab.add_entry("entry-%d" % (number + 1), DATA_CENTRES[number % 3])
    wait_for("an entry that follows the log",
             lambda: all(lab.admin(e, "health")["logReachable"] for e in lab.entries))
    for account in ACCOUNTS:
        lab.loomctl("account", "create", account)
    lab.loomctl("service", "create", "scorer-llm", "--kind", "model", "--account", ACCOUNTS[0],
                "--region", "texas")
    for name in ("exam-app", "franchise-portal"):
        lab.loomctl("service", "create", name, "--kind", "plain", "--region", "texas")
        lab.loomctl("settings", "set", "/service/" + name, "calls.repeatable", "false")
    lab.loomctl("settings", "set", "/region/texas", "addresses.lifetimeMs", "2000")
    lab.loomctl("settings", "set", "/", "slo.firstByteMs", "340")
    for number, port in enumerate(lab.engines(12, "--slots", 16, "--prefill-ms", 5,
                                              "--cached-prefill-ms", 2, "--token-ms", 2)):
        lab.add_agent("scorer-%02d" % (number + 1), "scorer-llm", port, DATA_CENTRES[number % 3],
                      linkMbit=400, engineChecksFence=True)
    for number, port in enumerate(lab.plain(3, "--delay-ms", 3)):
        lab.add_agent("exam-%d" % (number + 1), "exam-app", port, DATA_CENTRES[number], kind="plain")
    lab.add_agent("portal-1", "franchise-portal", lab.plain(1)[0], kind="plain")
    lab.wait_ready()


def start_load(lab, service, weights, *options):
    seeds = ",".join("%s:%d" % (HOST, entry.callers) for entry in lab.entries)
    command = [program("loombench"), "load", "--service", service, "--account", ",".join(ACCOUNTS),
               "--seed-entry", seeds, "--seconds", 0]
    for version, digest in weights.items():
        command += ["--weights", "%s=%s" % (version, digest)]
    return lab.start("load-" + service, command + list(options))


def finish_load(load):
    load.send(signal.SIGTERM)
    code = load.child.wait()
    result = json.loads(load.log_text().strip().splitlines()[-1])
    return code, result


def report(name, result):
    say("  %s: %d sent, %d answered, %d not run, %d unknown, %d connections refused, %d bad; "
        "first byte p50 %.1f ms, p99 %.1f ms" % (
            name, result["sent"], result["answered"], result["notRun"], result["unknown"],
            result["failed"], result["bad"], result["p50Ms"], result["p99Ms"]))


def publish(lab, version, size_mib, seed):
    path = lab.write_weights(version + ".bin", size_mib * 1024 * 1024, seed)
    return json.loads(lab.loomctl("--json", "model", "publish", "scorer-llm", version, path).stdout)


def watch(lab, version):
    """Shows the progress live; gives the seconds it took."""
    began = time.monotonic()
    last = None
    while True:
        line = json.loads(lab.loomctl("--json", "model", "status", "scorer-llm", version).stdout)
        shown = (line["holding"], line["chunks"])
        if shown != last:
            say("  %5.2f s  %2d of %d replicas hold %s, %d/%d chunks" % (
                time.monotonic() - began, line["holding"], line["replicas"], version,
                line["chunks"], line["chunksWanted"]))
            last = shown
        if line["replicas"] == 12 and line["holding"] == 12:
            return time.monotonic() - began
        if time.monotonic() - began > 300:
            raise AssertionError("the rollout did not finish")
        time.sleep(0.3)


def plain_runs(lab):
    counts = {}
    for agent in lab.agents:
        if agent.service == "exam-app":
            runs = request_json(agent.upstream_port, "GET", "/runs")[1]["runs"]
            for call, count in runs.items():
                counts[call] = counts.get(call, 0) + count
    return counts


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--model-mib", type=int, default=16)
    parser.add_argument("--keep-logs", action="store_true")
    options = parser.parse_args()
    broken = []
    with Lab(origin_mbit=800, keep_logs=options.keep_logs) as lab:
        say("Starting stand-ins, 6 entries and 16 agents on loopback")
        build_deployment(lab, options.model_mib)
        size = options.model_mib * 1024 * 1024

        say("Publishing v1 and serving it")
        first = publish(lab, "v1", options.model_mib, 1)
        watch(lab, "v1")
        lab.loomctl("model", "promote", "scorer-llm", "v1")
        weights = {"v1": first["wholeDigest"]}

        path = lab.write_weights("v2.bin", size, 2)
        weights["v2"] = whole_digest(path)
        say("Live requests begin: essays to scorer-llm, answers to exam-app that may run once")
        loads = [start_load(lab, "scorer-llm", weights, "--concurrency", 32, "--rate", 800),
                 start_load(lab, "exam-app", {}, "--concurrency", 8, "--rate", 200, "--once")]
        time.sleep(2)

        say("Publishing v2 while they flow")
        request_json(lab.origin_port, "POST", "/control", {"resetCounts": True})
        publish(lab, "v2", options.model_mib, 2)
        seconds = watch(lab, "v2")
        sent = request_json(lab.origin_port, "GET", "/stats")[1]["bytesOut"]
        say("  v2 is on 12 replicas after %.2f s; the origin sent %.2f copies" % (
            seconds, sent / size))
        lab.loomctl("model", "promote", "scorer-llm", "v2")
        say("Promoted v2")
        time.sleep(3)

        say("Draining entry-6 while requests flow")
        drained = lab.entries[-1]
        lab.loomctl("entry", "drain", entries=[drained])
        wait_for("entry-6 to end", lambda: drained.process.child.poll() is not None)
        if drained.process.child.returncode != 0:
            broken.append("the drained entry exited with %d" % drained.process.child.returncode)
        time.sleep(1)

        say("Requests end")
        for name, load in zip(("scorer-llm", "exam-app"), loads):
            code, result = finish_load(load)
            report(name, result)
            if code != 0 or result["bad"]:
                broken.append("%s: %d answers were not whole or not the caller's own" % (
                    name, result["bad"]))
            if result["unknown"] or result["answered"] == 0:
                broken.append("%s: %d requests ended unknown" % (name, result["unknown"]))
            if name == "scorer-llm" and not result["versions"].get("v2"):
                broken.append("no answer came from v2 after its promotion")
        twice = [call for call, count in plain_runs(lab).items() if count > 1]
        say("  exam-app ran %d submitted answers, %d of them more than once" % (
            len(plain_runs(lab)), len(twice)))
        if twice:
            broken.append("%d calls ran more than once" % len(twice))

        say("Burn report")
        print(lab.loomctl("report", "burn", entries=lab.entries[:-1]).stdout, flush=True)
    for line in broken:
        say("BROKEN: " + line)
    say("demo: " + ("a promise was broken" if broken else "every promise held"))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
