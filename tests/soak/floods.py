# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Replicas that send bytes without end, and callers that leave together, in a soak.

A generator of its own draws them, so that the other faults of a seed stay what they are."""

import asyncio
import random
import time

PAUSE = 4.0  # mean seconds between two of them
LONGEST = 3.0  # seconds for which a replica floods
KINDS = ("event", "body", "refusal")


class Floods:
    def __init__(self, world, faults, rng: random.Random, say):
        self.world = world
        self.faults = faults
        self.rng = rng
        self.say = say
        self.callers = []

    async def run(self):
        while not self.faults.is_stopped:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE))
            if self.faults.is_stopped:
                return
            self.faults.open += 1
            try:
                await self.rng.choice((self.flood, self.leave_together))()
            finally:
                self.faults.open -= 1
                self.faults.last_ended = time.monotonic()

    async def flood(self):
        replica = self.rng.choice(self.world.replicas)
        kind, share = self.rng.choice(KINDS), self.rng.uniform(0.3, 1.0)
        lasts = self.rng.uniform(0.3, LONGEST)
        self.say(f"{replica.id} floods ({kind}) for {lasts:.1f} s")
        replica.flood_kind, replica.floods = kind, share
        await asyncio.sleep(lasts)
        replica.floods = 0.0

    async def leave_together(self):
        leaving = [caller for caller in self.callers if self.rng.random() < 0.8]
        self.say(f"{len(leaving)} callers leave")
        for caller in leaving:
            caller.leave()
        await asyncio.sleep(0.1)
