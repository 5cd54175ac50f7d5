# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Regions of requests and evacuations of data centres, and where requests began all the same."""

import asyncio
import time

OPERATORS = "keyed.op"
EVACUATION_BOUND = 2.5  # seconds from the accepted write until it is in force everywhere
LONGEST_EVACUATION = 8.0  # seconds
CALM_EVACUATION = 6.0  # seconds
ONE_REGION = (["north"], ["south"])
CHOICES = ([], [], *ONE_REGION, ["north", "south"])


class Placement:
    """Evacuates one data centre at a time, and knows which regions each request may use."""

    def __init__(self, world, rng, say):
        self.world = world
        self.rng = rng
        self.say = say
        self.is_stopped = False
        self.on_restored = None  # called with the data centre; set by the soak
        self.evacuations = []  # (zone, time of acceptance, time of removal or None)

    def _evacuate(self, zone):
        at = self.world.store.write(OPERATORS, f"evacuate/{zone}", b"{}")
        self.evacuations.append((zone, at, None))
        self.say(f"evacuates {zone}")

    def _restore(self):
        zone, at, _ = self.evacuations[-1]
        # What begins while the removal is written may belong to either side.
        self.evacuations[-1] = (zone, at, time.monotonic())
        self.world.store.write(OPERATORS, f"evacuate/{zone}", None)
        self.on_restored(zone)
        self.say(f"evacuation of {zone} ends")

    async def _play(self, zones, seconds):
        self._evacuate(self.rng.choice(zones))
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.is_stopped:
            await asyncio.sleep(0.1)
        self._restore()

    async def run(self, zones):
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            if not self.is_stopped:
                await self._play(zones, self.rng.uniform(2.0, LONGEST_EVACUATION))

    async def play_calm(self, zones):
        """Under load and without faults, a new configuration and an evacuation that stands."""
        self.is_stopped = False
        self.world.configure(binds=True)
        await self._play(zones, CALM_EVACUATION)

    def is_unservable(self, kind, account):
        """Whether no replica that is up may serve such a request, by the newest configuration."""
        regions = self.world.regions[-1][1].get((kind, account))
        service = "engine-svc" if kind == "stream" else "plain-svc"
        evacuated = {zone for zone, _, end in self.evacuations[-1:] if end is None}
        return not any(one.service == service and one.is_up and not one.is_leaving()
                       and (regions is None or one.zone in regions) and one.zone not in evacuated
                       for one in self.world.replicas)


def zone_of(run, zones):
    return next(zone for zone in zones if f"-{zone}-" in run.replica)


def outside_regions(world, asked, runs, zones, bound, calm):
    """Requests that began in a region that no configuration which may be in force allows."""
    of_request = {one.name: (one.kind, one.account) for one in asked}
    broken, judged = [], 0
    for run in runs:
        who = of_request.get(run.request)
        known = [index for index, (at, _) in enumerate(world.regions) if at < run.at - bound]
        if who is None or not known or not calm(run.at - bound, run.at):
            continue
        lists = [regions.get(who) for at, regions in world.regions[known[-1]:] if at <= run.at]
        if None in lists:
            continue
        judged += 1
        zone = zone_of(run, zones)
        if not any(zone in regions for regions in lists):
            broken.append(f"HOME: {run.request} ({who[0]} of {who[1]}) began at {run.replica}, "
                          f"allowed {lists}")
    return broken, judged


def in_evacuated(evacuations, runs, zones, slack, calm):
    """Requests that began in an evacuated data centre; runs elsewhere meanwhile are judged too."""
    broken, judged = [], 0
    bound = EVACUATION_BOUND + slack
    for zone, accepted_at, removed_at in evacuations:
        for run in runs:
            if not accepted_at + bound < run.at < (removed_at or run.at + 1):
                continue
            if not calm(run.at - bound, run.at):
                continue
            judged += 1
            if zone_of(run, zones) == zone:
                broken.append(f"EVAC: {run.request} began at {run.replica} "
                              f"{run.at - accepted_at:.1f} s after the evacuation was accepted")
    return broken, judged
