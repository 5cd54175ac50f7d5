# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Replicas in need: they name, change and end limits, and what came is judged by them."""

import asyncio
import time

SPAN = 4.0  # seconds
TOLERANCE = 1.5
BEYOND = 5  # requests
KNOWN_AFTER = 4.0  # seconds after the first naming
RATES = (0.0, 0.5, 2.3, 5.0, 10.0)


class Limits:
    """Lets one replica of each service at a time name a limit, as the seed draws it."""

    def __init__(self, world, rng, say):
        self.world = world
        self.rng = rng
        self.say = say
        self.is_stopped = False

    def _draw(self):
        services = {replica.service for replica in self.world.replicas}
        for service in sorted(services):
            able = [one for one in self.world.replicas if one.service == service]
            for replica in able:
                replica.name_limit(None)
            replica = self.rng.choice(able)
            if replica.is_up and self.rng.random() < 0.8:
                replica.name_limit(self.rng.choice(RATES))
                self.say(f"{replica.id} names {replica.limit} a second")

    async def _change(self):
        for replica in self.world.replicas:
            if replica.limit is not None and self.rng.random() < 0.5:
                replica.name_limit(self.rng.choice(RATES))
        await asyncio.sleep(self.rng.uniform(0.5, 1.5))

    async def run(self):
        while not self.is_stopped:
            self._draw()
            for _ in range(self.rng.randint(1, 5)):
                await self._change()
        for replica in self.world.replicas:
            replica.name_limit(None)

    async def play_calm(self, seconds):
        """Under load and without faults, limits that stand."""
        for replica in self.world.replicas:
            replica.name_limit(None)
        for service in ("engine-svc", "plain-svc"):
            able = [one for one in self.world.replicas if one.service == service and one.is_up]
            if able:
                self.rng.choice(able).name_limit(self.rng.choice(RATES[1:]))
        await asyncio.sleep(seconds)
        for replica in self.world.replicas:
            replica.name_limit(None)


def spans(named):
    """[(first, end, [(at, rate)])] of the times in which a replica named limits."""
    found = []
    for at, rate in named:
        is_open = bool(found) and found[-1][1] is None
        if rate is None and is_open:
            found[-1] = (found[-1][0], at, found[-1][2])
        elif rate is not None and is_open:
            found[-1][2].append((at, rate))
        elif rate is not None:
            found.append((at, None, [(at, rate)]))
    return [(first, end or time.monotonic(), rates) for first, end, rates in found]


def named_in(rates, since, until):
    """What `rates` name from `since` to `until`; before the first one it counts."""
    total = 0.0
    for index, (at, rate) in enumerate(rates):
        begin = since if index == 0 else max(since, at)
        end = rates[index + 1][0] if index + 1 < len(rates) else until
        total += max(0.0, min(until, end) - begin) * rate
    return total


def over_limits(replicas, calm):
    """Replicas that got more than they named, from all gateways, in calm times."""
    broken, judged = [], 0
    for replica in replicas:
        for first, end, rates in spans(replica.named):
            times = [arrival.at for arrival in replica.arrivals]
            for at in times:
                if not first + KNOWN_AFTER <= at <= end or not calm(at - SPAN, at):
                    continue
                judged += 1
                count = sum(1 for one in times if at - SPAN < one <= at)
                allowed = TOLERANCE * named_in(rates, at - SPAN, at) + BEYOND
                if count > allowed:
                    broken.append(f"LIMIT: {replica.service} at {replica.address[1]} got {count} "
                                  f"requests in {SPAN:.0f} s; allowed {allowed:.0f}")
    return broken, judged
