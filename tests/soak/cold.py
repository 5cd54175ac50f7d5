# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Replicas that are cold for a while, and how many requests reached them meanwhile."""

import asyncio
import collections
import time

RATE = 6.0  # requests a second
COLD = 3.0  # seconds
HEARTBEAT = 1.2  # seconds
SPAN = 1.0  # seconds
ALLOWED = 1.5 * RATE + 5  # requests in any span
MISDIRECTED = 421  # for another life of the replica or other weights; the pages don't count these
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


def by_sender(came, asked):
    """What each gateway sent of `came`, and when its callers had asked, for a finding."""
    senders = collections.defaultdict(list)
    for arrival in came:
        one = asked.get(arrival.request)
        name = one.gateway.rsplit(":")[-1] if one else "unknown"
        waited = f"{arrival.at - one.at:.2f}" if one else "?"
        senders[name].append(f"{arrival.at - came[-1].at:.2f}/{waited}/{arrival.status}")
    return "; ".join(f"{name} {len(sent)}: {' '.join(sent)}"
                     for name, sent in sorted(senders.items()))


def over_cold_rate(replicas, stalls, asked):
    """Cold replicas that got more than they can take, from all gateways, at any time."""
    broken, judged = [], 0
    asked = {one.name: one for one in asked}
    for replica in replicas:
        for written_at, end, is_first in replica.cold_spans:
            begin = written_at if is_first else written_at + KNOWN_AFTER
            came = [one for one in replica.arrivals
                    if begin <= one.at < end and one.status != MISDIRECTED]
            for index, last in enumerate(came):
                if is_stalled(stalls, last.at - SPAN, last.at):
                    continue
                judged += 1
                within = [one for one in came[:index + 1] if last.at - SPAN < one.at]
                if len(within) > ALLOWED:
                    broken.append(f"FAILBACK: {replica.service} at {replica.address[1]} got "
                                  f"{len(within)} requests in {SPAN:.0f} s, "
                                  f"{last.at - written_at:.1f} s after it turned cold; "
                                  f"allowed {ALLOWED:.0f} (gateway, seconds before the last / "
                                  f"after its caller asked / status: {by_sender(within, asked)})")
    return broken, judged
