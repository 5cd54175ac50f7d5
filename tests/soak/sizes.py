# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Engines that work in passes, requests of widely spread sizes beyond what the engines complete,
and how often each size is served."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import math
import random
import signal
import time

import aiohttp

SLOTS = 8
QUEUE = 24  # requests that an engine holds beyond its slots before it refuses others
STEP_MS = 5.0
PER_SEQ_MS = 0.1
STRIDE = 2  # tokens in an event
READ_PER_MS = 20.0  # tokens
MEAN_PROMPT = 1000
MEAN_ANSWER = 24
ENGINE = {"slots": SLOTS, "step_ms": STEP_MS, "per_seq_ms": PER_SEQ_MS, "context_per_k": 0.0,
          "read_per_s": READ_PER_MS * 1000, "stride": STRIDE, "kv_capacity": 1000000, "layers": 1,
          "usual": {"prompt": MEAN_PROMPT, "answer": MEAN_ANSWER}}
KINDS = {"long": 1.3, "short": 0.7}  # mean size, relative to the means of the engine
SIGMA = 1.2
MAX_FACTOR = 4.0  # largest size, in means
TRUE_PROMPT = "Test-Prompt-Tokens"  # tells engines the size that a request need not name
TIME = 6.0  # seconds that a request has
MAX_WAIT_SHARE = 1 / 3  # of the time left, which a caller waits at most before it returns
OUTPUT_WORK = 10  # a token of an answer counts as so many of a prompt
MIN_SHARE = 0.8  # of all requests of a kind, how often its largest ones have to be served
DEVIATIONS = 3  # of a share among so many requests, before it counts as too low


def log_normal(rng, limit):
    return min(limit, rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA))


def capacity(engines):
    """Requests a second that the engines complete."""
    step = STEP_MS + SLOTS * PER_SEQ_MS
    return engines * 1000 / (MEAN_PROMPT / READ_PER_MS + MEAN_ANSWER * step / SLOTS)


class Job:
    """A request at an engine."""

    def __init__(self, prompt, events):
        self.prompt = prompt
        self.left = events
        self.is_gone = False
        self.done = 0
        self.changed = asyncio.Event()

    async def event(self, number):
        while self.done < number:
            self.changed.clear()
            await self.changed.wait()


class BatchEngine:
    """Reads waiting prompts as far as slots are free, and writes an event for each request a pass."""

    def __init__(self):
        self.pace = 1.0
        self.waiting = []  # (priority, order, job)
        self.active = []
        self.order = itertools.count()
        self.arrived = asyncio.Event()

    def add(self, request):
        prompt = int(request.headers.get(TRUE_PROMPT, MEAN_PROMPT))
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        job = Job(prompt, int(request.query["events"]) + 1 - first)
        priority = int(request.headers.get("Priority", 5))
        heapq.heappush(self.waiting, (priority, next(self.order), job))
        self.arrived.set()
        return job

    def is_full(self):
        return self.held() >= SLOTS + QUEUE

    def held(self):
        return len(self.waiting) + len(self.active)

    def report(self):
        started = sum(1 for job in self.active if job.done)
        return {"waiting": self.held() - started, "running": started, "pace": self.pace}

    async def run(self):
        while True:
            self.waiting = [one for one in self.waiting if not one[2].is_gone]
            heapq.heapify(self.waiting)
            if not self.held():
                self.arrived.clear()
                await self.arrived.wait()
            tokens = 0
            while self.waiting and len(self.active) < SLOTS:
                job = heapq.heappop(self.waiting)[2]
                tokens += job.prompt
                self.active.append(job)
            steps = STRIDE * (STEP_MS + PER_SEQ_MS * len(self.active))
            await asyncio.sleep((tokens / READ_PER_MS + steps) * self.pace / 1000)
            for job in self.active:
                job.done += 1
                job.left -= 1
                job.changed.set()
            self.active = [job for job in self.active if job.left > 0 and not job.is_gone]


@dataclasses.dataclass
class SizedRequest:
    kind: str
    prompt: int
    events: int
    is_named: bool
    is_served: bool = False
    is_broken: bool = False  # by a disturbance, not by a refusal

    def work(self):
        return self.prompt + OUTPUT_WORK * STRIDE * self.events


class SizedCallers:
    """Callers that come at a rate whatever becomes of those before, and return once if refused."""

    def __init__(self, world, rng, named):
        self.world = world
        self.rng = rng
        self.named = named
        self.requests = []
        self.reasons = collections.Counter()

    async def run(self, per_second, seconds):
        timeout = aiohttp.ClientTimeout(total=TIME + 2, sock_connect=1)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            until = time.monotonic() + seconds
            due = time.monotonic()
            calls = []
            while due < until:
                due += self.rng.expovariate(per_second)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                calls.append(asyncio.ensure_future(self._call(session, self._draw())))
            await asyncio.gather(*calls)

    def _draw(self):
        kind = self.rng.choice(list(KINDS))
        prompt = round(MEAN_PROMPT * KINDS[kind] * log_normal(self.rng, MAX_FACTOR))
        mean_events = MEAN_ANSWER * KINDS[kind] / STRIDE
        events = 1 + round((mean_events - 1) * log_normal(self.rng, MAX_FACTOR))
        request = SizedRequest(kind, max(1, prompt), events, self.rng.random() < self.named)
        self.requests.append(request)
        return request

    async def _call(self, session, request):
        begun = time.monotonic()
        for attempt in range(2):
            gateway = self.rng.choice(self.world.gateways())
            wait = await self.ask(session, request, begun, gateway)
            left = TIME - (time.monotonic() - begun)
            if wait is None or attempt == 1:
                return
            await asyncio.sleep(min(wait, left * MAX_WAIT_SHARE))

    async def ask(self, session, request, begun, gateway):
        """Returns the time after which to return, or nothing if that is of no use."""
        left = TIME - (time.monotonic() - begun)
        address = gateway.settings["gateway"]["callers"]
        headers = {"Host": "soak.example",
                   "Loomjunction-Request-Id": f"{self.rng.getrandbits(64):016x}",
                   "Authorization": f"Token {self.world.accounts['acc-a']}",
                   "Loomjunction-Deadline-Ms": str(round(left * 1000)),
                   "Loomjunction-Model": "soak-model",
                   TRUE_PROMPT: str(request.prompt)}
        if request.is_named:
            most = STRIDE * request.events
            headers["Loomjunction-Token-Usage"] = f"{request.prompt},{most}"
        url = f"http://{address}/{request.kind}/x?events={request.events}&gap=0"
        try:
            async with asyncio.timeout(max(0.0, left)):
                async with session.post(url, data=b"x", headers=headers) as answer:
                    text = await answer.read()
                    if answer.status == 200:
                        request.is_served = text.count(b"\n\n") == request.events
                        request.is_broken = not request.is_served
                        self.reasons["200"] += 1
                        return None
                    signature = "Loomjunction-Response-Signature" in answer.headers
                    self.reasons[f"{answer.status} {'replica' if signature else text[:60]}"] += 1
                    if answer.status == 503:
                        return float(answer.headers.get("Retry-After", 1))
                    request.is_broken = True
        except asyncio.TimeoutError:
            self.reasons["time was over"] += 1
        except (aiohttp.ClientError, ConnectionError) as error:
            self.reasons[type(error).__name__] += 1
            request.is_broken = True
        return None


def share(requests):
    return sum(one.is_served for one in requests) / len(requests) if requests else 0.0


def is_too_low(part, among):
    """Whether `part` is served less often than the target asks, beyond what chance explains."""
    served = share(among)
    bound = MIN_SHARE * served
    deviation = math.sqrt(max(bound * (1 - bound), 0.0) / max(1, len(part)))
    return share(part) < bound - DEVIATIONS * deviation


def tabulate(requests, order):
    """A line for each kind, and the broken promises."""
    lines, broken = [], []
    for kind in KINDS:
        among = sorted((one for one in requests if one.kind == kind), key=order)
        if not among:
            continue
        count = len(among)
        tenths = [among[count * n // 10:count * (n + 1) // 10] for n in range(10)]
        served = share(among)
        shares = " ".join(f"{share(tenth) / served if served else 0:.2f}" for tenth in tenths)
        lines.append(f"{kind}: {count} asked, {served:.3f} served; by tenths, relative: {shares}")
        for name, part in (("largest tenth", tenths[9]), ("fifth below it", tenths[7] + tenths[8])):
            if is_too_low(part, among):
                broken.append(f"SIZES: the {name} of {kind} is served {share(part):.3f} of the time, "
                              f"all are {served:.3f}")
    return lines, broken


class Sizes:
    """A play of sized requests beside disturbances that the seed draws."""

    def __init__(self, world, seed, options):
        self.world = world
        self.rng = random.Random(f"sizes {seed}")
        load = self.rng.choice((0.9, 1.2, 1.6, 2.0, 2.5))
        named = self.rng.choice((0.0, 0.5, 1.0, 1.0))
        pace = self.rng.choice((1.0, 1.0, 1.5, 2.0))
        self.load = options.load or load
        self.named = named if options.named < 0 else options.named
        self.pace = options.pace or pace
        self.has_faults = self.rng.random() < 0.5
        self.callers = SizedCallers(world, self.rng, self.named)
        self.engines = [one.batch for one in world.replicas if one.batch]
        self.working = []

    def name(self):
        return (f"load {self.load}, sizes named {self.named}, half of the engines at pace "
                f"{self.pace}, {'with' if self.has_faults else 'no'} faults")

    async def wait_served(self, seconds):
        """Starts the engines, and waits until each gateway has served a request."""
        self.working = [asyncio.ensure_future(engine.run()) for engine in self.engines]
        until = time.monotonic() + seconds
        timeout = aiohttp.ClientTimeout(total=TIME)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            left = list(self.world.gateways())
            while left and time.monotonic() < until:
                await asyncio.sleep(0.2)
                trial = SizedCallers(self.world, self.rng, 1.0)
                request = SizedRequest("short", 10, 2, True)
                await trial.ask(session, request, time.monotonic(), left[0])
                left = left[1:] if request.is_served else left
        return not left

    async def run(self, seconds):
        for engine in self.engines[::2]:
            engine.pace = self.pace
        power = sum(1 / engine.pace for engine in self.engines)
        faulting = asyncio.ensure_future(self._faults(seconds)) if self.has_faults else None
        await self.callers.run(self.load * capacity(power), seconds)
        for task in [*self.working, *([faulting] if faulting else [])]:
            task.cancel()

    async def _faults(self, seconds):
        """Series that overlap: an engine ends, gateways are stopped one after the other."""
        engines = [one for one in self.world.replicas if one.batch]
        await asyncio.sleep(seconds / 4)
        ending = asyncio.ensure_future(self.world.end_replica(self.rng.choice(engines)))
        for gateway in self.world.gateways()[:2]:
            gateway.signal(signal.SIGTERM)
            await asyncio.sleep(seconds / 8)
        await ending

    def judge(self):
        requests = [one for one in self.callers.requests if not one.is_broken]
        lines, broken = [self.name()], []
        for name, order in (("prompt", lambda one: one.prompt), ("work", SizedRequest.work)):
            found, wrong = tabulate(requests, order)
            lines += [f"by {name}, {line}" for line in found]
            broken += [f"{text}, by {name}" for text in wrong]
        lines.append("outcomes: " + ", ".join(f"{key} {count}" for key, count
                                              in self.callers.reasons.most_common(8)))
        return lines, broken
