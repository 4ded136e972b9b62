"""Stands between the module and the sockets: one event in at a time, its actions carried out in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from petrelhall.decide import interface as api
from petrelhall.gateway.requests import ModuleFault, RequestAction
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, describe, now_ms

FOR_REQUESTS = api.Send | api.Refuse | api.Fail | api.Cancel


class Module(Protocol):
    """The decisions."""

    actions: list[api.Action]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""


class Dispatcher:
    """Feeds the module. An action's own consequences wait until all actions before them are done."""

    def __init__(self, loop: Loop, module: Module, counts: Counts, log: Callable[[str], None]) -> None:
        self.loop, self.module, self.counts, self.log = loop, module, counts, log
        self.waiting: deque[api.Event] = deque()
        self.busy = False
        self.to_request: Callable[[RequestAction], None] = lambda order: None
        self.to_peers: Callable[[bytes, tuple[int, ...]], None] = lambda content, to: None
        self.to_counter: Callable[[int, float, float], None] | None = None

    def tell(self, event: api.Event) -> None:
        """Tell the module of an event, now or right after those before it."""
        self.waiting.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.waiting:
                for action in self.decide(self.waiting.popleft()):
                    self.loop.guard(self.carry_out, action)
        finally:
            self.busy = False

    def decide(self, event: api.Event) -> list[api.Action]:
        """Ask the module; should it break down, what it had decided until then stands: it has booked that."""
        try:
            return self.module.handle(now_ms(), event)
        except Exception as error:
            self.counts.add("module", "faults")
            self.log(f"module failed on {type(event).__name__}: {describe(error)}")
            request = getattr(event, "request", None)
            if request is not None and not isinstance(event, api.ClientGone):
                self.loop.after(0.0, lambda: self.to_request(ModuleFault(request)))
            return list(self.module.actions)

    def carry_out(self, action: api.Action) -> None:
        """Carry out one action."""
        if isinstance(action, api.SetTimer):
            token = action.token
            self.loop.after(action.after_ms, lambda: self.tell(api.Alarm(token)))
        elif isinstance(action, FOR_REQUESTS):
            self.to_request(action)
        elif isinstance(action, api.Tell):
            self.to_peers(action.content, action.to)
        elif isinstance(action, api.CounterAdd):
            if self.to_counter is None:
                self.waiting.append(api.CounterReply(action.name, api.Ending.CONNECT_FAILED))
            else:
                self.to_counter(action.name, action.amount, action.expire_ms)
        elif isinstance(action, api.Note):
            self.log(action.text)
        # Probe: the platform has none. Subscribe: discovery is followed from the start.
