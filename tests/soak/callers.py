# This file is part of loomjunction (tests).
# SPDX-License-Identifier: BSD-2-Clause
"""Callers of a soak: what they ask, and what they hold the gateways to."""

import asyncio
import dataclasses
import random
import time

import aiohttp

from replicas import CRASHING, CRASHING_PART, PROMPT_PARTS, digest

PROMISES_NOT_RUN = (408, 421, 429, 503)
FORGETS_AFTER = 12.0  # a caller asks for addresses anew at least this often


@dataclasses.dataclass
class Asked:
    """One request and how it ended, as its caller saw it."""

    name: str
    kind: str
    account: str
    at: float
    status: int = 0  # 0: no answer
    ended_at: float = 0.0
    gateway: str = ""
    signature: str = ""  # of the answer; empty: none
    has_left: bool = False  # the caller closed its connection before the answer was whole
    is_unservable: bool = False  # refused while no replica that is up may serve it


def prompt_parts(rng, middle=None):
    """A first part that all callers share, one in the middle, and the request's own."""
    middle = middle or f"b{rng.randint(0, 15):x}"
    return f"a0:40,{middle}:300,f{rng.getrandbits(48):x}:20"


class CrashingCaller:
    """Sends one request again and again, at any gateway, each time with a new id."""

    NAMES = "crashing"
    EVERY = 0.5  # seconds

    def __init__(self, world, rng: random.Random):
        self.world = world
        self.rng = rng
        self.is_stopped = False

    def request(self):
        """Path, body and further headers of the next request."""
        return "safe/crashing", CRASHING, {}

    async def run(self):
        timeout = aiohttp.ClientTimeout(total=3, sock_connect=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.is_stopped:
                gateway = self.rng.choice(self.world.gateways())
                path, body, more = self.request()
                headers = {"Host": "soak.example", "Authorization": "Token key-a",
                           "Loomjunction-Request-Id": f"{self.NAMES}{self.rng.getrandbits(64):x}",
                           "Loomjunction-Deadline-Ms": "2000", **more}
                url = f"http://{gateway.settings['gateway']['callers']}/{path}"
                try:
                    async with session.post(url, data=body, headers=headers) as answer:
                        await answer.read()
                except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError):
                    pass
                await asyncio.sleep(self.EVERY)


class CrashingPartCaller(CrashingCaller):
    """Sends requests that have a crashing part in their prompts in common, and nothing else."""

    NAMES = "badpart"
    EVERY = 0.2

    def request(self):
        headers = {"Loomjunction-Model": "soak-model", "Loomjunction-Token-Usage": "100,30",
                   PROMPT_PARTS: prompt_parts(self.rng, CRASHING_PART)}
        return "stream/bad?events=3&gap=30", self.rng.randbytes(200), headers


class Caller:
    """Sends requests one after the other, over connections that it keeps."""

    TIME = 6.0  # seconds that a stream has, by its route

    def __init__(self, world, rng: random.Random, asked, broken_promises, placement,
                 longest_gap=20):
        self.world = world
        self.placement = placement
        self.longest_gap = longest_gap  # milliseconds between the events of a stream
        self.rng = rng
        self.asked = asked
        self.broken = broken_promises
        self.addresses = []
        self.heard_at = 0.0
        self.is_stopped = False
        self.session = None
        self.exchange = None  # the request that is under way

    async def run(self):
        timeout = aiohttp.ClientTimeout(total=8, sock_connect=1)
        async with aiohttp.ClientSession(timeout=timeout, auto_decompress=False) as self.session:
            while not self.is_stopped:
                await self._resolve()
                if self.addresses:
                    await self._ask()
                await asyncio.sleep(self.rng.uniform(0.0, 0.03))

    async def _resolve(self):
        if self.addresses and time.monotonic() - self.heard_at < 2:
            return
        gateways = list(self.world.gateways())
        self.rng.shuffle(gateways)
        for gateway in gateways[:3]:
            url = f"http://{gateway.settings['gateway']['addresses']}/resolve?name=x&zone=north"
            try:
                quick = aiohttp.ClientTimeout(total=1)
                async with self.session.get(url, timeout=quick) as answer:
                    told = (await answer.json()).get("addresses", [])
                if told:
                    self.addresses, self.heard_at = told, time.monotonic()
                    return
            except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
                continue
        if time.monotonic() - self.heard_at > FORGETS_AFTER:
            self.addresses = []

    async def _ask(self):
        kind = self.rng.choice(("stream", "stream", "once", "safe"))
        account = self.rng.choice(list(self.world.accounts))
        name = f"{self.rng.getrandbits(64):016x}"
        one = Asked(name, kind, account, time.monotonic())
        one.gateway = self.rng.choice(self.addresses)
        self.asked.append(one)
        total = self.rng.randint(2, 10)
        gap = self.rng.randint(20, self.longest_gap)
        body = self.rng.randbytes(200)
        headers = {"Host": "soak.example", "Loomjunction-Request-Id": name,
                   "Authorization": f"Token {self.world.accounts[account]}",
                   "Loomjunction-Deadline-Ms": "6000", "Loomjunction-Tenant": "forged",
                   "Loomjunction-Target-Instance": "forged"}
        if kind == "stream":
            headers.update({"Loomjunction-Model": "soak-model",
                            "Loomjunction-Token-Usage": "100,30",
                            PROMPT_PARTS: prompt_parts(self.rng)})
        url = f"http://{one.gateway}/{kind}/x?events={total}&gap={gap}"
        self.exchange = asyncio.ensure_future(self._exchange(one, url, body, headers, total))
        await asyncio.wait({self.exchange})
        if self.exchange.cancelled():
            one.has_left = True
        else:
            self.exchange.result()
        one.ended_at = time.monotonic()
        one.is_unservable = one.status == 503 and self.placement.is_unservable(kind, account)

    def leave(self):
        """Closes the connection of the request that is under way."""
        if self.exchange is not None:
            self.exchange.cancel()

    async def _exchange(self, one, url, body, headers, total):
        try:
            async with self.session.post(url, data=body, headers=headers) as answer:
                text = await answer.read()
                one.status = answer.status
                self._check(one, answer, text, total, body)
        except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError):
            one.status = 0

    def _check(self, one, answer, text, total, body):
        signature = answer.headers.get("Loomjunction-Response-Signature", "")
        one.signature = signature
        if one.status == 200:
            if not signature.endswith("/" + one.name):
                self.broken.append(f"MIXED: {one.name} got a success signed '{signature}'")
            expected = f"{one.name}:{digest(body)}".encode()
            if one.kind == "stream":
                expected = b"".join(f"id: {n}\ndata: {one.name}/{n}/{total}\n\n".encode()
                                    for n in range(1, total + 1))
            if text != expected:
                rule = "ORDER" if one.kind == "stream" else "MIXED"
                self.broken.append(f"{rule}: {one.name} got another body as whole: {text[:200]}")
        elif one.status in (400, 401, 404, 413, 431):
            self.broken.append(f"DENIED: {one.name} got {one.status} from {one.gateway}")
        if one.status == 503 and "Retry-After" not in answer.headers and not signature:
            self.broken.append(f"REFUSED: {one.name} is not told when to come back")
