# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""What goes wrong in a soak: each fault begins, lasts, and ends, in series that overlap."""

import asyncio
import signal
import time


class Faults:
    """Draws faults from a seed. `calm_since` says since when none is on."""

    def __init__(self, world, rng, say, longest):
        self.world = world
        self.rng = rng
        self.say = say
        self.longest = longest  # seconds that one fault lasts at most
        self.open = 0
        self.last_ended = time.monotonic()
        self.is_stopped = False
        self.planned = [self.configure, self.name_weights, self.terminate, self.hang_up,
                        self.drain_replica, self.restart_all_in_turn]
        self.unplanned = [self.kill, self.kill_many, self.freeze, self.cut_store, self.cut_replica,
                          self.reset_links, self.delay_links, self.crash_replica, self.grey_replica,
                          self.store_trouble, self.forget, self.rot]

    def calm_since(self):
        return time.monotonic() if self.open else self.last_ended

    def plan_only(self):
        """Nothing goes wrong; engines say nothing for a while now and then, and go on."""
        self.planned += [self.configure, self.name_weights, self.pause_engine, self.pause_engine]
        self.unplanned = self.planned

    def plan_beside_returns(self):
        """What operators and the platform do, while the store returns from copies."""
        self.planned += [self.configure, self.name_weights, self.drain_replica]
        self.unplanned = self.planned

    async def run(self):
        tasks = []
        while not self.is_stopped:
            await asyncio.sleep(self.rng.expovariate(1.2))
            if self.is_stopped:
                break
            kinds = self.unplanned if self.rng.random() < 0.65 else self.planned
            tasks.append(asyncio.ensure_future(self._play(self.rng.choice(kinds))))
        await asyncio.gather(*tasks)

    async def _play(self, fault):
        lasts = self.rng.uniform(0.3, self.longest)
        self.say(f"{fault.__name__} for {lasts:.1f} s")
        self.open += 1
        try:
            await fault(lasts)
        finally:
            self.open -= 1
            self.last_ended = time.monotonic()

    def _some(self, items, most=0.5):
        items = list(items)
        return self.rng.sample(items, self.rng.randint(1, max(1, int(len(items) * most))))

    # ---- what operators and the platform do on purpose

    async def configure(self, _):
        for _ in range(self.rng.choice((1, 1, 5))):
            self.world.configure()
            await asyncio.sleep(0.1)

    async def name_weights(self, _):
        self.world.name_weights()

    async def terminate(self, _):
        process = self.rng.choice(self.world.processes)
        process.terminate()

    async def hang_up(self, _):
        for process in self._some(self.world.processes):
            process.signal(signal.SIGHUP)

    async def drain_replica(self, lasts):
        replica = self.rng.choice(self.world.replicas)
        if not replica.is_up or replica.is_leaving():
            return
        replica.drain()
        await asyncio.sleep(3.0 + lasts)
        replica.crash()
        replica.restart()

    async def restart_all_in_turn(self, _):
        for process in self.world.gateways():
            process.terminate()
            await asyncio.sleep(4.5)

    async def pause_engine(self, _):
        engines = [one for one in self.world.replicas if one.is_engine]
        for replica in self._some(engines):
            replica.paused_until = time.monotonic() + self.rng.uniform(1.2, 1.9)
        await asyncio.sleep(1.9)

    # ---- what goes wrong

    async def kill(self, _):
        self.rng.choice(self.world.processes).signal(signal.SIGKILL)

    async def kill_many(self, _):
        for process in self._some(self.world.processes, 1.0):
            process.signal(signal.SIGKILL)

    async def freeze(self, lasts):
        for process in self._some(self.world.processes, 0.3):
            if process.is_frozen:
                continue
            process.is_frozen = True
            process.signal(signal.SIGSTOP)
            asyncio.ensure_future(self._thaw(process, lasts))
        await asyncio.sleep(lasts + 0.1)

    async def _thaw(self, process, lasts):
        await asyncio.sleep(lasts)
        process.signal(signal.SIGCONT)
        process.note_resumed()

    async def _cut(self, proxies, lasts):
        ways = self.rng.choice((("drops_up",), ("drops_down",), ("drops_up", "drops_down")))
        for proxy in proxies:
            proxy.note_disturbance(lasts)
            for way in ways:
                setattr(proxy.state, way, True)
        await asyncio.sleep(lasts)
        for proxy in proxies:
            for way in ways:
                setattr(proxy.state, way, False)

    async def cut_store(self, lasts):
        await self._cut(self._some(self.world.store_proxies.values()), lasts)

    async def cut_replica(self, lasts):
        await self._cut(self._some(self.world.replica_proxies.values(), 0.3), lasts)

    async def reset_links(self, _):
        for proxy in self._some([*self.world.replica_proxies.values(),
                                 *self.world.store_proxies.values()]):
            proxy.reset_all()

    async def delay_links(self, lasts):
        proxies = self._some([*self.world.replica_proxies.values(),
                              *self.world.store_proxies.values()], 0.3)
        for proxy in proxies:
            proxy.note_disturbance(lasts)
            proxy.state.delay = self.rng.uniform(0.005, 0.15)
        await asyncio.sleep(lasts)
        for proxy in proxies:
            proxy.state.delay = 0.0

    async def crash_replica(self, lasts):
        replica = self.rng.choice(self.world.replicas)
        if not replica.is_up:
            return
        proxy = self.world.replica_proxies[replica]
        replica.crash()
        proxy.end()
        await asyncio.sleep(lasts)
        await proxy.listen()
        replica.restart()

    async def grey_replica(self, lasts):
        replica = self.rng.choice(self.world.replicas)
        share = self.rng.choice(("fails", "breaks", "loses"))
        setattr(replica, share, self.rng.uniform(0.1, 0.6))
        await asyncio.sleep(lasts)
        setattr(replica, share, 0.0)

    async def store_trouble(self, lasts):
        store = self.world.store
        store.answers = self.rng.choice(("busy", "silent", "lossy", "well"))
        store.slow = self.rng.choice((0.0, 0.2))
        await asyncio.sleep(lasts)
        store.answers, store.slow = "well", 0.0

    async def forget(self, _):
        self.world.store.forget()

    async def rot(self, _):
        engines = [one for one in self.world.replicas if one.is_engine]
        for replica in self._some(engines):
            for index in list(replica.stage):
                # A stage that goes bad within a load is nobody's fault.
                if self.rng.random() < 0.3 and not replica.is_busy:
                    replica.stage[index] = bytes(len(replica.stage[index]))
                    replica.rotted_at = time.monotonic()
