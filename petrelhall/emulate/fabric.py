"""Pure cores between links that lose, delay, repeat and cut, in simulated time: one seed is one history.

A core takes ``handle(now_ms, event)`` and gives actions. The fabric knows none of their words: a ``Driver`` makes
the events and says which actions are datagrams. Killed nodes are gone with all that they knew; stopped ones do nothing
until they go on, when what came meanwhile is waiting for them, as a socket's buffer would hold it.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

BUFFER = 400  # datagrams that wait for a stopped node; more are lost, as in a socket's buffer


class Driver(Protocol):
    """What a fabric must know of a core."""

    def start(self, number: int, now: float) -> Any:
        """Give a new core, of a life of its own."""

    def tick(self, core: Any, now: float) -> Iterable[tuple[int | None, bytes]]:
        """Let time pass for a core; give datagrams with their receivers, None for all."""

    def hear(self, core: Any, now: float, sender: int, content: bytes) -> Iterable[tuple[int | None, bytes]]:
        """Give a core a datagram."""


@dataclass(slots=True)
class Links:
    """How the links are. Delays are milliseconds, evenly drawn between the two."""

    loss: float = 0.0
    delay_ms: tuple[float, float] = (1.0, 5.0)
    repeat: float = 0.0
    cut: Callable[[int, int], bool] = field(default=lambda sender, receiver: False)


class Fabric:
    """Some nodes, their links and a clock."""

    def __init__(self, driver: Driver, nodes: int, links: Links, seed: int, tick_ms: float) -> None:
        self.driver, self.links, self.random, self.tick_ms = driver, links, random.Random(seed), tick_ms
        self.now = 0.0
        self.cores: dict[int, Any] = {}
        self.stopped: dict[int, list[tuple[int, bytes]]] = {}
        self.nodes = nodes
        self.bytes = self.datagrams = 0
        self.order = itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(nodes):
            self.start(number)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Have something happen."""
        heapq.heappush(self.due, (when, next(self.order), call))

    def start(self, number: int) -> None:
        """Start a node, empty."""
        core = self.cores[number] = self.driver.start(number, self.now)
        self.at(self.now + self.random.random() * self.tick_ms, lambda: self.tick(number, core))

    def kill(self, number: int) -> None:
        """End a node at once."""
        self.cores.pop(number, None)
        self.stopped.pop(number, None)

    def stop(self, number: int) -> None:
        """Have a node stand still."""
        if number in self.cores:
            self.stopped.setdefault(number, [])

    def go_on(self, number: int) -> None:
        """Have a node go on, with what waits for it first, as sockets come before timers."""
        for sender, content in self.stopped.pop(number, []):
            self.give(sender, number, content)

    def tick(self, number: int, core: Any) -> None:
        """Let a node have its turn."""
        if self.cores.get(number) is not core:
            return
        self.at(self.now + self.tick_ms, lambda: self.tick(number, core))
        if number not in self.stopped:
            self.send(number, self.driver.tick(core, self.now))

    def send(self, sender: int, datagrams: Iterable[tuple[int | None, bytes]]) -> None:
        """Put datagrams on their ways."""
        links, draw = self.links, self.random
        for to, content in datagrams:
            for receiver in range(self.nodes) if to is None else (to,):
                if receiver == sender:
                    continue
                self.datagrams += 1
                self.bytes += len(content)
                if links.cut(sender, receiver):
                    continue
                for _ in range(2 if links.repeat and draw.random() < links.repeat else 1):
                    if draw.random() >= links.loss:
                        self.at(
                            self.now + draw.uniform(*links.delay_ms),
                            lambda receiver=receiver, content=content:  # type: ignore[misc]
                            self.give(sender, receiver, content),
                        )

    def give(self, sender: int, receiver: int, content: bytes) -> None:
        """Have a datagram arrive."""
        if receiver in self.stopped:
            if len(self.stopped[receiver]) < BUFFER:
                self.stopped[receiver].append((sender, content))
        elif receiver in self.cores:
            core = self.cores[receiver]
            self.send(receiver, self.driver.hear(core, self.now, sender, content))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.due and self.due[0][0] <= until:
            self.now, _, call = heapq.heappop(self.due)
            call()
        self.now = until
