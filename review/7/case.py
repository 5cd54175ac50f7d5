"""RECOVER: one spoilt manifest keeps an engine empty for good.

All machines lose power at the end, so that the engine holds no layers and its stage is empty. The first
manifest that the origin sends after it arrives spoilt; all else that it sends is sound. TROUBLE=0 plays
neither; TROUBLE=final plays the loss of power alone.
"""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import replicas
import standins
from replicas import OPERATORS, Engine, Origin, Replica, configuration, request_headers

replicas.CHUNKS = 48

TROUBLE = os.environ.get("TROUBLE", "1")
GATEWAYS = 2
STREAMS_PER_S, PLAIN_PER_S = 12, 2
FAULT_AT, BACK = 8.0, 1.5  # all machines lose power; seconds until they are back
RECOVERY_S, JUDGED_S = 12.0, 10.0


class SpoilingOrigin(Origin):
    """Spoils one manifest: a digit of one digest is another one."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.spoils_next = False
        self.sent = {"manifest": 0, "piece": 0, "spoilt": 0}

    async def handle(self, request, writer):
        kind = request.target.split("/")[1]
        if kind in self.sent:
            self.sent[kind] += 1
        if kind != "manifest" or not self.spoils_next:
            await super().handle(request, writer)
            return
        self.spoils_next = False
        self.sent["spoilt"] += 1
        version = int(request.query("version", "1"))
        digests = [replicas.digest(replicas.chunk(version, index))
                   for index in range(replicas.CHUNKS)]
        spoilt = digests[17]
        digests[17] = spoilt[:5] + ("0" if spoilt[5] != "0" else "1") + spoilt[6:]
        told = {"model": replicas.MODEL, "version": version, "chunk_bytes": replicas.CHUNK_BYTES,
                "layers": 1, "digests": digests}
        writer.write(standins.answer_bytes(200, [("Content-Type", "application/json")],
                                           json.dumps(told).encode()))
        self.record("the origin sends a manifest that arrives spoilt")


class PoweredEngine(Engine):
    def lose_power(self):
        self.end()
        self.stage.clear()


async def client(deployment, one, record, rng):
    gateway = rng.choice(deployment.gateways).settings["gateway"]["callers"]
    is_stream = one["kind"] == "stream"
    target = "/stream/x?events=10&gap=30" if is_stream else "/safe/x"
    try:
        answer = await standins.ask(gateway, "POST", target,
                                    request_headers(one["name"], 6000, is_stream),
                                    rng.randbytes(100), 6.0)
        one["status"] = answer.status
        why = answer.body[:80].decode("latin-1") if answer.status != 200 else ""
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        why = type(error).__name__
    record(f"{one['name']} {one['kind']} sent at {one['at']:.3f}: {one['status']} {why}")


async def load(deployment, sent, record, rng, begun, until):
    tasks, number, per_s = [], 0, STREAMS_PER_S + PLAIN_PER_S
    while time.monotonic() - begun < until:
        await asyncio.sleep(max(0.0, begun + number / per_s - time.monotonic()))
        kind = "safe" if number % per_s < PLAIN_PER_S else "stream"
        one = {"name": f"r{number:05d}", "kind": kind, "at": time.monotonic() - begun, "status": 0}
        sent.append(one)
        tasks.append(asyncio.ensure_future(client(deployment, one, record, rng)))
        number += 1
    await asyncio.gather(*tasks)


async def trouble(deployment, engine, plains, origin, record, begun):
    if TROUBLE == "0":
        return
    await asyncio.sleep(begun + FAULT_AT - time.monotonic())
    deployment.store.write(OPERATORS, "config", configuration(5, origin))
    record("a configuration is acknowledged, and all machines lose power")
    for process in [*deployment.gateways, *deployment.stagers]:
        process.end()
    engine.lose_power()
    for plain in plains:
        plain.crash()
    origin.spoils_next = TROUBLE != "final"
    await asyncio.sleep(BACK)
    await engine.restart()
    for plain in plains:
        await plain.restart()
    for process in [*deployment.gateways, *deployment.stagers]:
        process.start()
    record("all machines are back")


def share(sent):
    return sum(one["status"] == 200 for one in sent) / max(len(sent), 1)


async def play(record):
    rng = random.Random(8)
    deployment = standins.Deployment()
    runs, sent = [], []
    origin = SpoilingOrigin(record)
    engine = PoweredEngine(deployment.store, "engine-svc", deployment.zones[0], runs, slots=16)
    plains = [Replica(deployment.store, "plain-svc", deployment.zones[index], runs)
              for index in range(2)]
    deployment.others = [origin, engine, *plains]
    try:
        await origin.listen()
        deployment.plan_gateways(GATEWAYS)
        deployment.plan_stager(engine, "engine-svc", engine.zone)
        for replica in [engine, *plains]:
            await replica.start()
        deployment.store.write(OPERATORS, "config", configuration(3, origin))
        await deployment.start()
        await asyncio.sleep(2.0)
        begun = time.monotonic()
        judged_from = FAULT_AT + BACK + RECOVERY_S
        await asyncio.gather(load(deployment, sent, record, rng, begun, judged_from + JUDGED_S),
                             trouble(deployment, engine, plains, origin, record, begun))
    finally:
        deployment.end()
    for at, name, life in runs:
        record(f"{name} began at {life} at {at - begun:.3f}")
    before = [one for one in sent if one["at"] < FAULT_AT]
    after = [one for one in sent if one["at"] >= judged_from]
    is_broken = share(before) >= 0.25 and share(after) < 0.25
    text = (f"the origin's answers: {origin.sent}; orders to the engine: {len(engine.ordered)}; "
            f"served before the final fault: {share(before):.3f} of {len(before)}; "
            f"sent later than recovery_s after the return: {share(after):.3f} of {len(after)}; "
            f"RECOVER {'broken' if is_broken else 'held'}")
    record(text)
    print(text)
    if share(before) < 0.25:
        return 2
    return 1 if is_broken else 0


sys.exit(standins.run_case(play, os.path.join(HERE, "record.txt")))
