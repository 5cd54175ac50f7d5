"""TWICE: a request that is no repeat runs at two replicas after late second answers to earlier refusals.

One replica of three sends a second answer, late, to three of the requests that it refused while it was
full. They arrive on the connection on which it works on a further request. TROUBLE=0 sends none.
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins
from replicas import OPERATORS, Origin, Replica, configuration, digest, request_headers

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS, REPLICAS, SLOTS = 3, 3, 4
PER_S, LASTS_S = 82, 40.0
WORK_S = (*[0.01] * 9, 1.0)  # of the requests by turns
GARBLED_FROM, GARBLED_FOR = 4.0, 5.0
LATE_S = 0.8  # a second answer comes so much after the first
SECOND_ANSWERS = 3
MAX_SHARE = 0.03  # of its answers within GARBLED_FOR


class BusyReplica(Replica):
    """Refuses what it has no slot for. While `garbles`, it answers three refused requests twice."""

    def __init__(self, *args, record):
        super().__init__(*args, slots=SLOTS)
        self.log = record
        self.garbles = False
        self.answered = []  # when it answered a request
        self.second_answers = []  # (when first sent, request id)
        self.peers = []
        self.refused = {}  # connection -> (time, answer) of its latest refusals
        self.tasks = set()

    async def handle(self, request, writer):
        if request.target.startswith("/healthz"):
            await super().handle(request, writer)
            return
        self.answered.append(time.monotonic())
        status = self.refusal(request)
        if not status:
            if self.garbles:
                self.answer_again(request, writer)
            await super().handle(request, writer)
            return
        told = [*self.common(request), ("Loomjunction-Instance-Id", self.id),
                ("Loomjunction-Not-Executed", "1")]
        answer = standins.answer_bytes(status, told)
        name = request.header("Loomjunction-Request-Id")
        self.refused.setdefault(writer, []).append((time.monotonic(), name, answer))
        writer.write(answer)

    def answer_again(self, request, writer):
        """Sends the latest three refusals on the connection again, each LATE_S after the first time."""
        now = time.monotonic()
        due = [one for one in self.refused.get(writer, []) if one[0] + LATE_S > now + 0.02]
        chosen = due[-SECOND_ANSWERS:]
        works_until = now + self.work_time(request) - 0.05
        has_room = any(peer.running < SLOTS - 1 for peer in self.peers)
        if (self.second_answers or len(chosen) < SECOND_ANSWERS or not has_room
                or chosen[-1][0] + LATE_S > works_until):
            return
        self.second_answers = [(at, name) for at, name, _ in chosen]
        for at, name, answer in chosen:
            task = asyncio.ensure_future(self.send_late(at + LATE_S - now, name, answer, writer))
            self.tasks.add(task)

    async def send_late(self, delay, name, answer, writer):
        await asyncio.sleep(delay)
        if not writer.is_closing():
            self.log(f"{self.id} sends its refusal of {name} a second time")
            writer.write(answer)

    def work_time(self, request):
        number = int(request.header("Loomjunction-Request-Id")[1:])
        return WORK_S[number % len(WORK_S)]

    async def work(self, request, writer):
        await asyncio.sleep(self.work_time(request))
        name = request.header("Loomjunction-Request-Id")
        body = f"{name}:{digest(request.body)}".encode()
        writer.write(standins.answer_bytes(200, [*self.common(request), *self.signature(request)],
                                           body))


async def client(deployment, name, rng, record, counts):
    gateway = rng.choice(deployment.gateways).settings["gateway"]["callers"]
    try:
        answer = await standins.ask(gateway, "POST", "/once/x", request_headers(name, 4000),
                                    rng.randbytes(50), 4.0)
        outcome = answer.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        outcome = type(error).__name__
    counts[name] = outcome
    record(f"{name}: {outcome}")


async def trouble(replica, begun):
    if not TROUBLE:
        return
    await asyncio.sleep(begun + GARBLED_FROM - time.monotonic())
    replica.garbles = True


async def play(record):
    rng = random.Random(9)
    deployment = standins.Deployment()
    runs, answers = [], {}
    origin = Origin()
    replicas = [BusyReplica(deployment.store, "plain-svc", deployment.zones[index % 2], runs,
                            record=record) for index in range(REPLICAS)]
    deployment.others = [origin, *replicas]
    try:
        replicas[0].peers = replicas[1:]
        await origin.listen()
        deployment.plan_gateways(GATEWAYS)
        for replica in replicas:
            await replica.start()
        deployment.store.write(OPERATORS, "config", configuration(3, origin, attempts=3))
        await deployment.start()
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        tasks = [asyncio.ensure_future(trouble(replicas[0], begun))]
        for number in range(int(PER_S * LASTS_S)):
            await asyncio.sleep(max(0.0, begun + number / PER_S - time.monotonic()))
            tasks.append(asyncio.ensure_future(client(deployment, f"r{number:05d}", rng, record,
                                                      answers)))
        await asyncio.gather(*tasks)
    finally:
        deployment.end()
    ran = {}
    for at, name, replica in runs:
        record(f"{name} began at {replica} at {at - begun:.3f}")
        ran.setdefault(name, []).append(replica)
    broken = [f"TWICE: {name} ran at {' and '.join(where)}, and its client got {answers.get(name)}"
              for name, where in ran.items() if len(where) > 1]
    broken += [f"REFUSED: {name} ran at {where[0]}, and its client got {answers.get(name)}"
               for name, where in ran.items() if answers.get(name) in (408, 421, 429, 503)]
    statuses = {}
    for outcome in answers.values():
        statuses[outcome] = statuses.get(outcome, 0) + 1
    for line in broken:
        record(line)
        print(line)
    second = replicas[0].second_answers
    first_at = second[0][0] if second else 0
    answers_then = sum(first_at <= at < first_at + GARBLED_FOR for at in replicas[0].answered)
    text = (f"answers: {statuses}; of {answers_then} answers of one replica in {GARBLED_FOR:.0f} s "
            f"{len(second)} were sent twice; TWICE and REFUSED {'broken' if broken else 'held'} ({len(broken)})")
    record(text)
    print(text)
    is_played = not TROUBLE or 0 < len(second) <= MAX_SHARE * answers_then
    if statuses.get(200, 0) < PER_S * LASTS_S / 2 or not is_played:
        return 2
    return 1 if broken else 0


sys.exit(standins.run_case(play, os.path.join(HERE, "record.txt")))
