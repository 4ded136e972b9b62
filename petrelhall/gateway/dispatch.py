"""Connects the decision module to the sockets: passes it one event at a time and executes its actions in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from petrelhall.decide import interface as api
from petrelhall.gateway.requests import ModuleFault, RequestAction
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, describe, now_ms

REQUEST_ACTIONS = api.Send | api.Refuse | api.Fail | api.Cancel


class Module(Protocol):
    """The decision module."""

    actions: list[api.Action]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event and return the resulting actions."""


class Dispatcher:
    """Passes events to the decision module.

    Events that result from executing an action are queued until all earlier actions have been executed.
    """

    def __init__(self, loop: Loop, module: Module, counts: Counts, log: Callable[[str], None]) -> None:
        self.loop, self.module, self.counts, self.log = loop, module, counts, log
        self.queued_events: deque[api.Event] = deque()
        self.dispatching = False
        self.handle_request_action: Callable[[RequestAction], None] = lambda action: None
        self.send_to_peers: Callable[[bytes, tuple[int, ...]], None] = lambda content, to: None
        self.add_to_counter: Callable[[int, float, float], None] | None = None

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the module, after the events that are already queued."""
        self.queued_events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.queued_events:
                for action in self.decide(self.queued_events.popleft()):
                    self.loop.guard(self.execute, action)
        finally:
            self.dispatching = False

    def decide(self, event: api.Event) -> list[api.Action]:
        """Return the module's actions for an event.

        If the module raises, the actions that it had decided on by then are still returned, since its state already
        accounts for them.
        """
        try:
            return self.module.handle(now_ms(), event)
        except Exception as error:
            self.counts.add("module", "faults")
            self.log(f"decision module failed on {type(event).__name__}: {describe(error)}")
            request = getattr(event, "request", None)
            if request is not None and not isinstance(event, api.ClientGone):
                self.loop.after(0.0, lambda: self.handle_request_action(ModuleFault(request)))
            return list(self.module.actions)

    def execute(self, action: api.Action) -> None:
        """Execute one action."""
        if isinstance(action, api.SetTimer):
            token = action.token
            self.loop.after(action.after_ms, lambda: self.dispatch(api.Alarm(token)))
        elif isinstance(action, REQUEST_ACTIONS):
            self.handle_request_action(action)
        elif isinstance(action, api.Tell):
            self.send_to_peers(action.content, action.to)
        elif isinstance(action, api.CounterAdd):
            if self.add_to_counter is None:
                self.queued_events.append(api.CounterReply(action.name, api.Ending.CONNECT_FAILED))
            else:
                self.add_to_counter(action.name, action.amount, action.expire_ms)
        elif isinstance(action, api.Note):
            self.log(action.text)
        # Probe is ignored: the platform has no probes. Subscribe too: discovery is followed from startup on.
