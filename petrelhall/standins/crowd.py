"""The clients: requests drawn ahead as a Poisson stream, each given one connection until its answer."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from petrelhall.standins.judge import Judge
from petrelhall.standins.wire import Malformed, Reader

GRACE_S = 0.1  # after a request's time, in which its answer still counts as come
MOST_OUT = 2000  # requests out at once; more are not asked, and counted


@dataclass
class Demand:
    """What the crowd asks."""

    rate: float = 500.0  # requests a second over all gateways
    clients: int = 64  # connections kept at most
    districts: int = 200
    keyed_share: float = 0.2
    deadline_ms: int = 1500
    paced: int = 0  # clients besides, each on a connection of its own, that pause between two requests
    pause_s: tuple[float, float] = (0.05, 0.6)
    lean: float = 0.0  # share of requests that come to one gateway of their district's


@dataclass(slots=True)
class Asked:
    """One request that is out."""

    name: str
    sent: float
    until: float
    keyed: bool
    gateway: int = 0  # that it was sent to
    district: int = 0


class Client(asyncio.Protocol):
    """One connection to a gateway."""

    def __init__(self, crowd: Crowd, gateway: int) -> None:
        self.crowd, self.gateway, self.reader = crowd, gateway, Reader()
        self.transport: asyncio.Transport | None = None
        self.asked: Asked | None = None
        self.fresh = True  # nothing was asked on it yet
        self.over: asyncio.Future[None] | None = None  # of a paced client: its request has its end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End: a request without an answer is lost, or asked again where the close crossed it."""
        self.transport = None
        asked, self.asked = self.asked, None
        if asked is not None:
            self.crowd.cut(self, asked)
        self.settle()

    def settle(self) -> None:
        """Let a paced client go on."""
        if self.over is not None and not self.over.done():
            self.over.set_result(None)

    def ask(self, asked: Asked, data: bytes) -> None:
        """Send a request."""
        self.asked = asked
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Take in an answer."""
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except Malformed:
            self.crowd.judge.rule("malformed_answer", repr(data[:60]))
            if self.transport is not None:
                self.transport.abort()
            return
        if message is None:
            return
        head, body = message
        asked, self.asked = self.asked, None
        if asked is None:
            return self.crowd.judge.rule("answer_to_nothing", repr(head.first))
        self.crowd.answered(asked, head.first, head.fields, body)
        if head.fields.get(b"connection", b"").lower() == b"close" and self.transport is not None:
            self.transport.close()
            self.transport = None
        else:
            self.fresh = False
            if self.over is None:
                self.crowd.idle[self.gateway].append(self)
        self.settle()


class Crowd:
    """All clients of one run."""

    def __init__(
        self, demand: Demand, judge: Judge, gateways: list[tuple[str, int]], plans: list[str], seed: int
    ) -> None:
        self.demand, self.judge, self.gateways, self.plans = demand, judge, gateways, plans
        self.random = random.Random(f"{seed}/crowd")
        self.idle: list[deque[Client]] = [deque() for _ in gateways]
        self.out: dict[str, Asked] = {}
        self.latencies: list[float] = []  # ms, of served requests
        self.made = self.asked = self.unasked = self.asked_again = 0
        self.down: set[int] = set()  # gateways that the front takes for down
        self.on_refused: Callable[[Asked], None] | None = None
        self.troubled: dict[int, float] = {}  # gateways that were killed or stopped, and until when (monotonic)

    async def run(self, seconds: float) -> None:
        """Ask for so many seconds, then wait until every request has its answer or its time is up."""
        loop, start = asyncio.get_running_loop(), time.monotonic()
        due, tasks = start, {loop.create_task(self.pace(start + seconds)) for _ in range(self.demand.paced)}
        while due < start + seconds:
            due += self.random.expovariate(self.demand.rate)
            pause = due - time.monotonic()
            if pause > 0.0005:
                await asyncio.sleep(pause)
            if len(self.out) >= MOST_OUT:
                self.unasked += 1
                continue
            task = loop.create_task(self.one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(self.demand.deadline_ms / 1000.0 + 2 * GRACE_S)
        self.expire(time.monotonic() + 3600.0)

    async def one(self) -> None:
        """Ask once."""
        await self.send(*self.word())
        if self.asked % 64 == 0:
            self.expire(time.monotonic())

    async def pace(self, until: float) -> None:
        """Ask again and again on one connection, with pauses; one that was seen to end is opened anew."""
        loop, client = asyncio.get_running_loop(), None
        gateway = self.random.randrange(len(self.gateways))
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(*self.demand.pause_s))
            asked, data = self.word()
            if client is None or client.transport is None or client.transport.is_closing():
                client = await self.connect(gateway)
                if client is None:
                    self.done(asked, "unreached")
                    continue
            client.over, asked.gateway = loop.create_future(), gateway
            client.ask(asked, data)
            await client.over

    async def connect(self, gateway: int) -> Client | None:
        """Open a connection; None where nobody takes it."""
        loop = asyncio.get_running_loop()
        try:
            _, client = await loop.create_connection(lambda: Client(self, gateway), *self.gateways[gateway])
        except OSError:
            return None
        self.made += 1
        return client if client.transport is not None else None

    def word(self) -> tuple[Asked, bytes]:
        """Draw a request, and word it."""
        number = self.asked
        self.asked += 1
        district = self.random.randrange(self.demand.districts)
        keyed = self.random.random() < self.demand.keyed_share
        now = time.monotonic()
        asked = Asked(
            f"{self.random.getrandbits(64):016x}", now, now + self.demand.deadline_ms / 1000.0, keyed, district=district
        )
        self.out[asked.name] = asked
        plan = self.plans[district % len(self.plans)]
        body = b"x" * self.random.randrange(400) if keyed else b""
        head = [
            f"{'POST' if keyed else 'GET'} /api?client={district:016x} HTTP/1.1",
            "Host: service.internal",
            f"X-Request-Id: {asked.name}",
            f"X-Class: {'enroll-change' if keyed else 'view-schedule'}",
            f"X-Contract: {plan}",
            f"X-Deadline: {self.demand.deadline_ms}m",
            f"X-Metering: units=1,spread={len(self.gateways)},first=0",
        ]
        if keyed:
            head += [f"Idempotency-Key: {number:032x}", f"Content-Length: {len(body)}"]
        return asked, "\r\n".join(head).encode() + b"\r\n\r\n" + body

    async def send(self, asked: Asked, data: bytes) -> None:
        """Send a request on an idle connection of some gateway, or on a new one."""
        up = [number for number in range(len(self.gateways)) if number not in self.down] or [0]
        gateway = self.random.choice(up)
        if self.demand.lean and self.random.random() < self.demand.lean:
            gateway = up[asked.district % len(up)]
        asked.gateway = gateway
        while self.idle[gateway]:
            client = self.idle[gateway].pop()
            if client.transport is not None and not client.transport.is_closing():
                return client.ask(asked, data)
        fresh = await self.connect(gateway)
        if fresh is None:
            return self.done(asked, "unreached")  # nobody took it: not the service's to answer
        fresh.ask(asked, data)

    def cut(self, client: Client, asked: Asked) -> None:
        """Take note of a connection that ended under its request."""
        if self.excused(asked) or not client.fresh:
            # Between requests a gateway may close; a request that the close crossed may be asked again, and
            # one whose gateway was killed is not this run's to judge.
            self.asked_again += 1
            self.done(asked, "crossed")
        else:
            self.done(asked, "lost")

    def excused(self, asked: Asked) -> bool:
        """Tell whether a request's gateway was killed or stood still while it was out: its end is not to be judged."""
        return asked.gateway in self.down or self.troubled.get(asked.gateway, 0.0) >= asked.sent

    def answered(self, asked: Asked, first: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Take note of an answer."""
        status = int(first.split(b" ")[1])
        if status == 200:
            told = body.split(b" ")
            if told[0].decode() != asked.name:
                return self.done(asked, "spoilt")
            self.latencies.append((time.monotonic() - asked.sent) * 1000.0)
            return self.done(asked, "served")
        if status in (429, 503):
            self.judge.seen["unsure"] += status == 503
            if b"retry-after" not in fields:
                self.judge.rule("refusal_without_advice", asked.name)
            if self.on_refused is not None:
                self.on_refused(asked)
            return self.done(asked, "refused")
        self.done(asked, "failed")

    def expire(self, now: float) -> None:
        """Count what has no answer though its time is up."""
        for asked in [asked for asked in self.out.values() if now > asked.until + GRACE_S]:
            self.done(asked, "excused" if self.excused(asked) else "unanswered")

    def done(self, asked: Asked, ending: str) -> None:
        """Give a request its final ending."""
        if ending in ("unanswered", "excused") or asked.name in self.out:
            self.out.pop(asked.name, None)
            self.judge.final(asked.name, ending)
        elif ending in ("served", "refused", "failed", "spoilt"):  # late: after it was counted as unanswered
            self.judge.seen["late"] += 1

    def summary(self) -> dict[str, Any]:
        """Give what the crowd saw."""
        ordered = sorted(self.latencies)

        def at(share: float) -> float:
            return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 1) if ordered else 0.0

        return {
            "requests": self.asked,
            "connections_made": self.made,
            "unasked": self.unasked,
            "p50_ms": at(0.5),
            "p99_ms": at(0.99),
        }
