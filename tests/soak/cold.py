# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Replicas that are cold for a while, and how many requests reached them meanwhile."""

import asyncio
import time

RATE = 6.0  # requests a second
COLD = 3.0  # seconds
HEARTBEAT = 1.2  # seconds
SPAN = 1.0  # seconds
ALLOWED = 1.5 * RATE + 5  # requests in any span
KNOWN_AFTER = 0.5  # seconds after the record of a replica that turned cold
STALL_REACH = 0.5  # seconds around a stand-still in which arrivals may look bunched


class Cold:
    """Lets replicas turn cold at random, and when an evacuation of their data centre ends."""

    def __init__(self, world, rng, say):
        self.world = world
        self.rng = rng
        self.say = say
        self.is_stopped = False

    def _turn_cold(self, replicas):
        for replica in replicas:
            if replica.is_up and not replica.is_leaving():
                replica.turn_cold()
                self.say(f"{replica.id} turns cold")

    def note_restored(self, zone):
        self._turn_cold(one for one in self.world.replicas if one.zone == zone)

    async def run(self):
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            if not self.is_stopped:
                self._turn_cold([self.rng.choice(self.world.replicas)])


def is_stalled(stalls, since, until):
    return any(since - STALL_REACH <= at <= until + STALL_REACH for at in stalls)


def over_cold_rate(replicas, stalls):
    """Cold replicas that got more than they can take, from all gateways, at any time."""
    broken, judged = [], 0
    for replica in replicas:
        for written_at, end, is_first in replica.cold_spans:
            begin = written_at if is_first else written_at + KNOWN_AFTER
            came = [at for at in replica.arrivals if begin <= at < end]
            for index, at in enumerate(came):
                if is_stalled(stalls, at - SPAN, at):
                    continue
                judged += 1
                count = sum(1 for one in came[:index + 1] if at - SPAN < one)
                if count > ALLOWED:
                    broken.append(f"FAILBACK: {replica.service} at {replica.address[1]} got "
                                  f"{count} requests in {SPAN:.0f} s, {at - written_at:.1f} s "
                                  f"after it turned cold; allowed {ALLOWED:.0f}")
    return broken, judged
