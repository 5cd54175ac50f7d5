# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Returns of the store from a copy, and what callers and the store must see of them."""

import asyncio
import time

import aiohttp

from world import BOUNDS

OLDEST_COPY = 10.0  # seconds
LONGEST_ABSENCE = 3.0  # seconds
LAST_WRITTEN_AGAIN = 2.0  # seconds after the return
REMOVED_AGAIN = 3.6  # seconds, after three check-ins that a replica has missed
STABLE_AFTER = 3.0  # seconds from a return on, or from when all is written again
PROBE_EVERY = 0.3  # seconds
# Three feeds, each read at most every 100 ms after a failure, and writes every 400 ms.
CALLS_OF_A_PROCESS = 35  # a second


class Returns:
    """Draws returns from a seed. Several may follow each other within seconds."""

    def __init__(self, world, faults, rng, say, pause):
        self.world = world
        self.faults = faults
        self.rng = rng
        self.say = say
        self.pause = pause  # mean seconds between series; 0: none
        self.is_stopped = False
        self.spans = []  # (begin, end): the store is away or lost records are written again

    async def run(self):
        while self.pause and not self.is_stopped:
            until = time.monotonic() + self.rng.expovariate(1 / self.pause)
            while time.monotonic() < until and not self.is_stopped:
                await asyncio.sleep(0.1)
            if not self.is_stopped:
                await self._play()

    async def _play(self):
        self.faults.open += 1
        begun = time.monotonic()
        try:
            for _ in range(self.rng.choice((1, 1, 2))):
                await self._return()
            await asyncio.sleep(REMOVED_AGAIN + 0.1)
        finally:
            self.spans.append((begun, time.monotonic()))
            self.faults.open -= 1
            self.faults.last_ended = time.monotonic()

    async def _return(self):
        store = self.world.store
        absence = self.rng.choice((0.0, self.rng.uniform(0.2, LONGEST_ABSENCE)))
        if absence:
            store.answers = self.rng.choice(("away", "silent"))
            await asyncio.sleep(absence)
            store.answers = "well"
        age = self.rng.uniform(0.0, OLDEST_COPY)
        lost = store.restore(age)
        self.say(f"store returns from a copy {age:.1f} s old after {absence:.1f} s; "
                 f"{len(lost)} records of others are lost")
        latest = self.rng.choice((0.0, LAST_WRITTEN_AGAIN))
        for place in lost:
            is_removed = store.intended[place] is None
            delay = REMOVED_AGAIN if is_removed else self.rng.uniform(0.0, latest)
            asyncio.ensure_future(self._write_again(place, delay))
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))

    async def _write_again(self, place, delay):
        await asyncio.sleep(delay)
        self.world.store.write_again(place)

    def was_stable(self, since, until):
        """Whether the store had been back for a while, and stayed."""
        return all(end + STABLE_AFTER <= since or begin >= until for begin, end in self.spans)


class ConfigProbe:
    """Asks the gateways in turn for the route that only the newest configuration has."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.is_stopped = False
        self.samples = []  # (time, box, life, version, time of acceptance, is known)

    async def run(self):
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:
            while not self.is_stopped:
                await asyncio.sleep(PROBE_EVERY)
                await self._probe(session, self.rng.choice(self.world.gateways()))

    async def _probe(self, session, gateway):
        version, accepted_at = self.world.configs[-1]
        sent_at, life = time.monotonic(), gateway.child.pid
        url = f"http://{gateway.settings['gateway']['callers']}/mark-{version}/x"
        headers = {"Host": "soak.example", "Authorization": "Token key-a",
                   "Loomjunction-Request-Id": f"mark{self.rng.getrandbits(48):x}",
                   "Loomjunction-Deadline-Ms": "1500"}
        try:
            async with session.post(url, headers=headers) as answer:
                status = answer.status
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return
        is_known, is_unknown = status == 200, status in (401, 403, 404)
        if not is_known and not is_unknown:
            return  # a refusal for load, a rest or age says nothing about the route
        self.samples.append((sent_at, gateway.box, life, version, accepted_at, is_known))

    def broken(self, config_apply, was_calm):
        """Configurations that were not in force in time, and those that were and went back."""
        broken, in_force = [], {}
        for sent_at, box, life, version, accepted_at, is_known in self.samples:
            newest = in_force.get((box, life), 0)
            if is_known:
                in_force[(box, life)] = max(newest, version)
            elif newest >= version:
                broken.append(f"CONFIG: {box} had configuration {version} in force and went back")
            elif sent_at - accepted_at > config_apply and was_calm(accepted_at, sent_at):
                broken.append(f"CONFIG: {box} did not know configuration {version}, "
                              f"{sent_at - accepted_at:.1f} s after it was accepted")
        return broken

    def refused_for_good(self, bound, was_stable):
        """Refusals for good by what may be old. Neither calm nor slack is asked for, because a
        gateway that can't show how recent its configuration is has another answer; but a store
        that returns from a copy loses what it has accepted."""
        return [f"CONFIG: {box} refused the route of configuration {version} for good, "
                f"{sent_at - accepted_at:.1f} s after it was accepted"
                for sent_at, box, _, version, accepted_at, is_known in self.samples
                if not is_known and sent_at - accepted_at > bound
                and was_stable(accepted_at, sent_at)]


def late_drains(replicas, runs, slack, was_calm):
    """Runs at a replica whose record said long before that it leaves."""
    broken = []
    for replica in replicas:
        for at, replica_id in replica.drained:
            late = [run for run in runs if run.replica == replica_id
                    and run.at > at + BOUNDS["drainMs"] / 1000 + slack and was_calm(at, run.at)]
            broken += [f"DRAIN: {run.request} reached {replica_id} {run.at - at:.1f} s after its "
                       f"record said that it leaves" for run in late]
    return broken


def too_many_calls(calls, process_count):
    """The most calls to the store in a second, if they are more than the processes may make."""
    most, begin = 0, 0
    for end, at in enumerate(calls):
        while at - calls[begin] > 1.0:
            begin += 1
        most = max(most, end - begin + 1)
    allowed = CALLS_OF_A_PROCESS * process_count
    return [f"CALLS: {most} calls to the store in a second, {allowed} allowed"] * (most > allowed)
