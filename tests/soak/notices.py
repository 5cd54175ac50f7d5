# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Replicas that leave or ask for rest in their answers, and what came all the same."""

import asyncio

RESTS = (1.0, 2.5, 4.0)  # seconds
TURNED_AWAY = 0.7  # share of the requests while a replica asks for rest
NOT_JUDGED = 0.5  # seconds of a rest
ALLOWED_IN_REST = 2
DRAIN = 2.0  # seconds from an answer that was passed on
DRAINED = 2.0  # seconds more that a replica stays


class Notices:
    """Lets one replica at a time ask for rest, and another leave without its record saying so."""

    def __init__(self, world, rng, say):
        self.world = world
        self.rng = rng
        self.say = say
        self.is_stopped = False

    async def run(self):
        await asyncio.gather(self._keep_playing(self._rest), self._keep_playing(self._leave))

    async def _keep_playing(self, play):
        while not self.is_stopped:
            able = [one for one in self.world.replicas
                    if one.is_up and not one.is_leaving() and one.rest is None]
            if able:
                await play(self.rng.choice(able))
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _rest(self, replica):
        replica.rest = self.rng.choice(RESTS)
        self.say(f"{replica.id} asks for rests of {replica.rest} s")
        await asyncio.sleep(self.rng.uniform(1.0, replica.rest + 1.0))
        replica.rest = None

    async def _leave(self, replica):
        self.say(f"{replica.id} says that it leaves")
        life = replica.life
        replica.says_leaving = True
        await asyncio.sleep(DRAIN + DRAINED)
        if replica.life == life and replica.is_up:
            replica.break_off_all()
            await self.world.end_replica(replica)


class Judge:
    """What callers, gateways and links had to do with what a replica got."""

    def __init__(self, world, asked, stalls):
        self.asked = {one.name: one for one in asked}
        self.gateways = {process.settings["gateway"]["callers"]: process
                         for process in world.gateways()}
        self.proxies = world.replica_proxies
        self.stalls = stalls
        self.judged = 0

    def _gateway_of(self, name):
        one = self.asked.get(name)
        return one.gateway if one else None

    def _is_excused(self, replica, gateway, since, until):
        process = self.gateways[gateway]
        was_disturbed = any(since <= at <= until for at in process.disturbances)
        was_cut = any(begin <= until and since - NOT_JUDGED <= end
                      for begin, end in self.proxies[replica].disturbances)
        has_stalled = any(since - NOT_JUDGED <= at <= until for at in self.stalls)
        return was_disturbed or was_cut or has_stalled

    def late_leavings(self, replica):
        """Requests that callers sent a drain time after their gateway had passed on the word."""
        told = {}
        for name, life in replica.said_leaving:
            one = self.asked.get(name)
            if one and one.signature.startswith(life + "/"):
                key = (one.gateway, life)
                told[key] = min(told.get(key, one.ended_at), one.ended_at)
        broken = []
        for at, name, life in replica.came:
            gateway = self._gateway_of(name)
            since = told.get((gateway, life))
            if since is None or self._is_excused(replica, gateway, since, at):
                continue
            self.judged += 1
            if self.asked[name].at > since + DRAIN:
                broken.append(f"DRAIN: {name} came to {life} {at - since:.2f} s after {gateway} "
                              "had passed on that it leaves")
        return broken

    def broken_rests(self, replica):
        """Rests in which their gateway went on to send."""
        broken = []
        for asked_at, name, life, seconds in replica.rests:
            gateway = self._gateway_of(name)
            came = [at for at, other, by in replica.came
                    if by == life and self._gateway_of(other) == gateway
                    and asked_at + NOT_JUDGED <= at < asked_at + seconds]
            if gateway is None or self._is_excused(replica, gateway, asked_at,
                                                   asked_at + seconds):
                continue
            self.judged += 1
            if len(came) > ALLOWED_IN_REST:
                broken.append(f"BUDGET: {life} got {len(came)} requests of {gateway} within "
                              f"{seconds} s of rest")
        return broken


def unheeded(world, asked, stalls):
    """The broken promises of both kinds, and how much was judged."""
    judge = Judge(world, asked, stalls)
    broken = []
    for replica in world.replicas:
        broken += judge.late_leavings(replica) + judge.broken_rests(replica)
    return broken, judge.judged
