"""RECOVER: entries of another writer hide running replicas for good.

Every process of the system is killed at the end. After it, another writer adds entries of a service that no
configuration names, with the addresses of the replicas. TROUBLE=0 plays neither; TROUBLE=final plays the
final fault alone.
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins
from replicas import OPERATORS, SERVERS, Origin, Replica, configuration, request_headers

# Bounds of the site file.
standins.BOUNDS.update({"drainMs": 3000, "weightsMs": 13400, "configMs": 3000, "retryExtra": 224})

TROUBLE = os.environ.get("TROUBLE", "1")
GATEWAYS, REPLICAS = 2, 3
PER_S = 20
HEARTBEAT_S = 1.2
FAULT_AT, BACK = 8.0, 0.98  # every process is killed; seconds until they are back
OTHERS_AFTER = 4.0  # seconds from then to the entries of the other writer
LAPSE_AFTER = 3 * HEARTBEAT_S
RECOVERY_S, JUDGED_S = 15.0, 10.0


class BeatingReplica(Replica):
    """Writes its entry about every heartbeat_ms, which tells when it was started."""

    def __init__(self, *args):
        super().__init__(*args)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.beats = None

    def entry(self):
        return {**super().entry(), "sequence": self.sequence, "born": self.born}

    async def start(self):
        await self.listen()
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.record()
            await asyncio.sleep(HEARTBEAT_S)


async def client(deployment, one, record, rng):
    gateway = rng.choice(deployment.gateways).settings["gateway"]["callers"]
    why = ""
    try:
        answer = await standins.ask(gateway, "POST", "/safe/x", request_headers(one["name"], 3000),
                                    b"q", 3.0)
        one["status"] = answer.status
        if answer.status != 200:
            why = answer.body[:80].decode("latin-1")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        why = type(error).__name__
    record(f"{one['name']} sent at {one['at']:.3f} to {gateway}: {one['status']} {why}")


async def load(deployment, sent, record, rng, begun, until):
    tasks, number = [], 0
    while time.monotonic() - begun < until:
        await asyncio.sleep(max(0.0, begun + number / PER_S - time.monotonic()))
        one = {"name": f"r{number:05d}", "at": time.monotonic() - begun, "status": 0}
        sent.append(one)
        tasks.append(asyncio.ensure_future(client(deployment, one, record, rng)))
        number += 1
    await asyncio.gather(*tasks)


async def trouble(deployment, origin, replicas, record, begun):
    if TROUBLE == "0":
        return
    await asyncio.sleep(begun + FAULT_AT - time.monotonic())
    deployment.store.write(OPERATORS, "config", configuration(5, origin))
    record("a configuration is acknowledged, and every process is killed")
    for process in deployment.gateways:
        process.end()
    await asyncio.sleep(BACK)
    for process in deployment.gateways:
        process.start()
    record("every process is started again")
    if TROUBLE == "final":
        return
    await asyncio.sleep(OTHERS_AFTER)
    for number, replica in enumerate(replicas):
        deployment.store.write(SERVERS, f"batch-{number}", {
            "service": "batch", "address": replica.address, "zone": replica.zone, "version": "v1",
            "slots": 1, "state": "ready", "cold_left_ms": 0, "sequence": 1})
        record(f"another writer adds batch-{number} of service batch at {replica.address}")
    await asyncio.sleep(LAPSE_AFTER)
    for number in range(len(replicas)):
        deployment.store.write(SERVERS, f"batch-{number}", None)
    record("the platform removes these entries after three check-ins of silence")


def share(sent):
    return sum(one["status"] == 200 for one in sent) / max(len(sent), 1)


async def play(record):
    rng = random.Random(7)
    deployment = standins.Deployment()
    runs, sent = [], []
    origin = Origin()
    replicas = [BeatingReplica(deployment.store, "plain-svc", deployment.zones[index % 2], runs)
                for index in range(REPLICAS)]
    deployment.others = [origin, *replicas]
    try:
        await origin.listen()
        deployment.plan_gateways(GATEWAYS)
        for replica in replicas:
            await replica.start()
        deployment.store.write(OPERATORS, "config", configuration(3, origin))
        await deployment.start()
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        judged_from = FAULT_AT + BACK + RECOVERY_S
        await asyncio.gather(load(deployment, sent, record, rng, begun, judged_from + JUDGED_S),
                             trouble(deployment, origin, replicas, record, begun))
    finally:
        for replica in replicas:
            if replica.beats is not None:
                replica.beats.cancel()
        deployment.end()
    for at, name, life in runs:
        record(f"{name} began at {life} at {at - begun:.3f}")
    before = [one for one in sent if one["at"] < FAULT_AT]
    after = [one for one in sent if one["at"] >= judged_from]
    is_broken = share(before) >= 0.25 and share(after) < 0.25
    text = (f"served before the final fault: {share(before):.3f} of {len(before)}; "
            f"sent later than recovery_s after the return: {share(after):.3f} of {len(after)}; "
            f"RECOVER {'broken' if is_broken else 'held'}")
    record(text)
    print(text)
    if share(before) < 0.25:
        return 2
    return 1 if is_broken else 0


sys.exit(standins.run_case(play, os.path.join(HERE, "record.txt")))
