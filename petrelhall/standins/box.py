"""A box: serves attempts as the protocol says, with faults that can be switched on while it runs."""

from __future__ import annotations

import asyncio
import heapq
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from petrelhall.standins.judge import Judge
from petrelhall.standins.wire import Head, Malformed, Reader, answer, free_listener, reset

BUCKET_S = 1.0


@dataclass
class Faults:
    """What is wrong with a box at the moment."""

    idle_s: tuple[float, float] | None = None  # hidden idle limit, drawn for each idle spell from this range
    idle_mode: str = "silent"  # then: "close", "silent" (reset what comes) or "mute" (swallow it)
    slow: float = 1.0  # service takes so many times longer
    cap: int = 0  # connections held at most; more are reset on arrival. 0: any number
    refuse: bool = False  # nobody listens
    hang: bool = False  # nobody accepts
    mute: bool = False  # nothing is answered, nothing is closed
    break_share: float = 0.0  # of requests whose connection is reset as they come, run or not


@dataclass
class Model:
    """How fast a box is."""

    cores: int = 8
    service_ms: float = 6.0
    queue: int = 64  # waiting at most; more are turned away
    cold_from: float = 0.25
    cold_s: float = 10.0
    handshake_ms: float = 0.5  # of one core, for each new connection


@dataclass
class Seen:
    """What a box counted."""

    opened: int = 0
    peak: int = 0
    served: int = 0
    turned_away: int = 0
    malformed: int = 0
    by_second: Counter[int] = field(default_factory=Counter)  # connections opened, by seconds since its start
    peer_peaks: Counter[str] = field(default_factory=Counter)
    idle_deaths: int = 0


class Box:
    """One box on a loopback address. Must be started inside a running event loop."""

    def __init__(self, name: str, judge: Judge, seed: int, model: Model | None = None) -> None:
        self.name, self.judge, self.model = name, judge, model or Model()
        self.random = random.Random(f"{seed}/{name}")
        self.kind = "m1"
        self.faults, self.seen = Faults(), Seen()
        self.listener: socket.socket | None = None
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.lines: set[Line] = set()
        self.free = [0.0] * self.model.cores  # when each core is free: a heap
        self.working = 0
        self.started = 0.0  # monotonic; 0: long ago
        self.started_unix_ms = 0
        self.drained_at: float | None = None
        self.accepting = False
        self.first_opened = 0.0

    # Life

    def start(self, cold: bool = False) -> None:
        """Listen, at the address it had before if it had one."""
        self.listener = free_listener(self.address)
        self.address = self.listener.getsockname()
        self.drained_at = None
        self.free = [0.0] * self.model.cores
        if cold:
            self.started, self.started_unix_ms = time.monotonic(), int(time.time() * 1000)
            self.seen.by_second.clear()
        self.accept(True)

    def accept(self, wanted: bool) -> None:
        """Take connections, or leave them to the kernel."""
        if self.listener is None or wanted == self.accepting:
            return
        loop = asyncio.get_running_loop()
        self.accepting = wanted
        if wanted:
            loop.add_reader(self.listener.fileno(), self.on_connection)
        else:
            loop.remove_reader(self.listener.fileno())

    def stop(self, crash: bool = True) -> None:
        """End: reset all connections as a dead process does, or close them in order."""
        self.accept(False)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for line in list(self.lines):
            line.end(crash)

    def set(self, **faults: Any) -> None:
        """Switch faults on and off."""
        for name, value in faults.items():
            if not hasattr(self.faults, name):
                raise ValueError(f"no such fault: {name}")
            setattr(self.faults, name, value)
        if self.faults.refuse and self.listener is not None:
            self.accept(False)
            self.listener.close()
            self.listener = None
        elif not self.faults.refuse and self.listener is None:
            self.listener = free_listener(self.address)
        self.accept(not (self.faults.hang or self.faults.mute))

    def drain(self) -> None:
        """From when discovery has told of it, nothing new is wanted."""
        self.drained_at = time.monotonic()

    # Connections

    def on_connection(self) -> None:
        """Take one connection; one too many is reset."""
        if self.listener is None:
            return
        try:
            sock, peer = self.listener.accept()
        except OSError:
            return
        if self.faults.cap and len(self.lines) >= self.faults.cap:
            reset(sock)
            sock.close()
            self.judge.seen["reset_on_arrival"] += 1
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.seen.opened += 1
        now = time.monotonic()
        self.first_opened = self.first_opened or now
        self.seen.by_second[int((now - (self.started or self.first_opened)) // BUCKET_S)] += 1
        line = Line(self)
        self.lines.add(line)
        self.seen.peak = max(self.seen.peak, len(self.lines))
        asyncio.get_running_loop().create_task(self.adopt(line, sock))
        self.work(self.model.handshake_ms)

    async def adopt(self, line: Line, sock: socket.socket) -> None:
        """Give a socket to its line."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: line, sock)
        except OSError:
            self.lines.discard(line)

    # Work

    def speed(self, now: float) -> float:
        """Give the share of its full speed that a box has now."""
        warmth = 1.0 if not self.started else min(1.0, (now - self.started) / self.model.cold_s)
        return (self.model.cold_from + (1.0 - self.model.cold_from) * warmth) / self.faults.slow

    def work(self, ms: float) -> float:
        """Take a core's time; give when it is done, monotonic."""
        now = time.monotonic()
        done = max(now, heapq.heappop(self.free)) + ms / 1000.0 / self.speed(now)
        heapq.heappush(self.free, done)
        return done

    def load(self) -> str:
        """Word a load report."""
        return f"X-Load: LOAD inflight={self.working}, qps={self.seen.served % 1000}"


class Line(asyncio.Protocol):
    """One connection at a box."""

    def __init__(self, box: Box) -> None:
        self.box, self.reader = box, Reader()
        self.transport: asyncio.Transport | None = None
        self.request = ""  # being worked on
        self.dead = False  # its box has let it die: what comes is stale
        self.limit: asyncio.TimerHandle | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.ended:
            transport.abort()
        self.rest()

    def connection_lost(self, error: Exception | None) -> None:
        """End; an attempt on it is over."""
        self.ended = True
        self.box.lines.discard(self)
        if self.limit is not None:
            self.limit.cancel()
        self.finish()

    def finish(self) -> None:
        """Count the attempt in hand as over."""
        if self.request:
            self.box.judge.over(self.request)
            self.request = ""

    def end(self, crash: bool) -> None:
        """Reset or close it."""
        self.ended = True
        if self.transport is not None:
            if crash:
                self.abort()
            else:
                self.transport.close()

    def abort(self) -> None:
        """Send a reset."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()

    def rest(self) -> None:
        """Begin an idle spell, which may have a hidden end."""
        if self.limit is not None:
            self.limit.cancel()
            self.limit = None
        span = self.box.faults.idle_s
        if span is not None:
            self.limit = asyncio.get_running_loop().call_later(self.box.random.uniform(*span), self.die)

    def die(self) -> None:
        """Let the connection die while idle, as the box's faults say."""
        self.limit = None
        if self.request or self.transport is None:
            return
        self.dead = True
        self.box.seen.idle_deaths += 1
        if self.box.faults.idle_mode == "close":
            if self.transport.can_write_eof() and not self.transport.is_closing():
                self.transport.write_eof()  # what crosses it is heard, and reset
            asyncio.get_running_loop().call_later(1.0, self.transport.close)

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except Malformed as error:
            self.box.seen.malformed += 1
            self.box.judge.rule("malformed_attempt", str(error))
            return self.abort()
        if message is not None:
            self.on_request(*message)

    def on_request(self, head: Head, body: bytes) -> None:
        """Take a whole request."""
        box, judge, now = self.box, self.box.judge, time.monotonic()
        name = head.fields.get(b"x-request-id", b"").decode("latin-1")
        method, _, rest = head.first.partition(b" ")
        if self.request:
            judge.rule("two_requests_on_a_connection", f"{self.request} and {name}")
            return self.abort()
        if self.limit is not None:
            self.limit.cancel()
            self.limit = None
        if self.dead:
            judge.stale_hit(name)
            if box.faults.idle_mode != "mute":
                self.abort()
            return
        if not name or not rest.startswith(b"/api?client=") or method not in (b"GET", b"POST"):
            judge.rule("malformed_attempt", repr(head.first[:60]))
            return self.abort()
        self.request = name
        judge.attempt(name, box.name, box.drained_at, now)
        stamp = head.fields.get(b"x-policy")
        if stamp is not None and judge.on_policy is not None and judge.attempts[name] == 1:
            judge.on_policy(name, stamp)
        if box.faults.mute:
            return
        if box.faults.break_share and box.random.random() < box.faults.break_share:
            judge.seen["broken_by_fault"] += 1
            return self.abort()
        if box.working >= box.model.cores + box.model.queue:
            box.seen.turned_away += 1
            return self.reply(name, answer(503, "Full", b"full\n", "X-Not-Run: 1", box.load()))
        box.working += 1
        done = box.work(box.model.service_ms * box.random.uniform(0.5, 1.5))
        key = head.fields.get(b"idempotency-key", b"").decode("latin-1")
        asyncio.get_running_loop().call_at(
            asyncio.get_running_loop().time() + done - now, self.served, name, key, len(body)
        )

    def served(self, name: str, key: str, size: int) -> None:
        """Answer what has run."""
        self.box.working -= 1
        self.box.seen.served += 1
        self.box.judge.ran(key)
        self.reply(name, answer(200, "OK", f"{name} {self.box.name} {size}\n".encode(), self.box.load()))

    def reply(self, name: str, data: bytes) -> None:
        """Write an answer, unless its connection has ended."""
        if self.request != name or self.transport is None or self.ended:
            return
        self.finish()
        self.transport.write(data)
        self.rest()
