"""A side machine stands still after it has checked its stage; see claim.txt."""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from client import Client  # noqa: E402
from deployment import KEY, ROUTE_HOST, Deployment, end_cleanly_on_sigterm  # noqa: E402

GATEWAYS, MACHINES = 2, 4
STREAM_CLIENTS = 110
STANDSTILL = 4.0  # seconds
ROT_AFTER = 0.2  # seconds from the begin of the standstill
ROT_SHARE = 0.06  # of the pieces that lie at the replica
ROT_EXCUSED = 3.0  # seconds; WHOLE doesn't count what went bad later
FIRST_TURN = 3.0  # seconds; stagers order the first load 0.4 of `version_ms` after the naming
VERSIONS = 6
EVERY = 15.0  # seconds between two versions
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.began = time.monotonic()
        self.is_over = False
        self.served = 0
        self.rots = {}  # times at which a piece went bad, by (machine, version, piece)
        self.taken = {}  # version: time of the last order, by machine
        self.seen = [0] * MACHINES  # bytes read of each engine's record
        self.broken = []
        self.frozen = 0
        self.named_at = 0.0

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def ask_for_streams(self, number):
        name, _, address, _ = self.deployment.gateways[number % GATEWAYS]
        client, rng = Client(address, ROUTE_HOST, KEY, number), random.Random(number)
        while not self.is_over:
            told = await client.ask(f"/score/x?events={rng.randint(10, 30)}",
                                    rng.randint(200, 2000))
            self.served += told.how == "whole"
            self.note(f"{name} stream {told.name}: {told.status} {told.how}, {told.events} events")
            await asyncio.sleep(rng.uniform(0.1, 0.3) if told.how != "whole" else 0)

    def engine_news(self, machine):
        """The lines that an engine has added to its record."""
        with open(self.deployment.engines[machine][0]["record"], encoding="utf-8") as file:
            file.seek(self.seen[machine])
            text = file.read()
        whole = text[:text.rfind("\n") + 1]
        self.seen[machine] += len(whole)
        return [json.loads(line) for line in whole.splitlines()]

    def rot(self, machine, version):
        """A share of the pieces that lie at the replica turn bad, each by one byte."""
        settings = self.deployment.engines[machine][0]
        rng = random.Random(version)
        count = max(1, round(settings["chunks"] * ROT_SHARE))
        for index in rng.sample(range(settings["chunks"]), count):
            path = os.path.join(settings["stage"], str(index))
            with open(path, "r+b") as file:
                first = file.read(1)
                file.seek(0)
                file.write(bytes([first[0] ^ 1]))
            self.rots[(machine, version, index)] = time.monotonic()
            self.note(f"machine {machine}: piece {index} went bad")

    async def freeze(self, machine, version):
        self.frozen += 1
        processes = [self.deployment.engines[machine][1], self.deployment.stagers[machine][1]]
        self.note(f"machine {machine} stands still")
        for process in processes:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(ROT_AFTER)
        self.rot(machine, version)
        await asyncio.sleep(STANDSTILL - ROT_AFTER)
        for process in processes:
            process.send_signal(signal.SIGCONT)
        self.note(f"machine {machine} runs again")

    def judge(self, machine, line):
        """WHOLE: a token is made with a layer that was taken while one of its pieces was bad."""
        if line["what"] == "layers taken":
            self.taken[machine] = line
            self.note(f"machine {machine}: takes version {line['version']}, bad pieces "
                      f"{line['bad']}")
        if line["what"] != "run" or not line["bad"]:
            return
        taken = self.taken[machine]
        for index in taken["bad"]:
            went_bad = self.rots.get((machine, taken["version"], index))
            age = None if went_bad is None else taken["at"] - went_bad
            if age is None or age > ROT_EXCUSED:
                self.broken.append(line["request"])
                self.note(f"machine {machine}: WHOLE: stream {line['request']} got tokens of piece "
                          f"{index}, which went bad {age} s before it was taken")
                return

    async def watch(self):
        """Freezes one machine for each version, while it prepares to take that version."""
        frozen_for = 1
        while not self.is_over:
            for machine in range(MACHINES):
                for line in self.engine_news(machine):
                    self.judge(machine, line)
                    # Before its turn, a stager only looks for pieces that it left there earlier.
                    is_check = (line["what"] == "last piece read back"
                                and time.monotonic() > self.named_at + FIRST_TURN)
                    is_due = is_check and TROUBLE and frozen_for < self.deployment.version
                    if is_due:
                        frozen_for = self.deployment.version
                        asyncio.ensure_future(self.freeze(machine, frozen_for))
            await asyncio.sleep(0.01)

    async def run(self):
        tasks = [asyncio.ensure_future(self.ask_for_streams(index))
                 for index in range(STREAM_CLIENTS)]
        tasks.append(asyncio.ensure_future(self.watch()))
        await asyncio.sleep(2)
        for version in range(2, VERSIONS + 2):
            self.note(f"version {version} is named")
            self.named_at = self.deployment.name_version(version)
            until = time.monotonic() + EVERY
            while time.monotonic() < until and not self.broken:
                await asyncio.sleep(0.1)
            if self.broken:
                break
        await asyncio.sleep(1)
        self.is_over = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def main():
    with tempfile.TemporaryDirectory(prefix="review-2-") as folder, \
            open(os.path.join(FOLDER, "record.txt"), "w", encoding="utf-8") as record:
        deployment = Deployment(folder, GATEWAYS, MACHINES, {"event_ms": 50})
        try:
            await deployment.start()
            if not await deployment.wait_ready():
                print("the gateways did not become ready")
                return 2
            await asyncio.sleep(1.5)
            case = Case(deployment, record)
            await case.run()
        finally:
            deployment.write_runs(record)
            deployment.stop()
        print(f"{case.served} streams served, {case.frozen} standstills, "
              f"{len(case.taken)} machines took newer weights")
        print(f"WHOLE: {len(case.broken)} streams got tokens of layers taken from spoilt pieces")
        if case.served < 100 or len(case.taken) < MACHINES:
            print("too little was done to judge")
            return 2
        return 1 if case.broken else 0


if __name__ == "__main__":
    end_cleanly_on_sigterm()
    sys.exit(asyncio.run(main()))
