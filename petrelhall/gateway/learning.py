"""Receives the shared policy from distributors: connects the learner's core with sockets and applies each version.

Code that decides on a request calls ``holds`` first, in the same turn of the loop: a process that was paused then
notices that its lease has expired.
"""

from __future__ import annotations

import math
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.document import Document
from petrelhall.decide import interface as api
from petrelhall.distribution.learner import (
    Connect,
    Disconnect,
    Dropped,
    Learner,
    LearnerEvent,
    Notified,
    PutInForce,
    SendWatch,
    Tick,
)
from petrelhall.distribution.timing import Timing
from petrelhall.gateway.platform import ForwardedRequest
from petrelhall.gateway.requests import Request
from petrelhall.net.counts import Counts
from petrelhall.net.loop import OFFSET_MS, Loop, Timer, now_ms
from petrelhall.net.stream import parse_address
from petrelhall.operator.file import OperatorError
from petrelhall.operator.settings import Distribution as Settings
from petrelhall.operator.settings import Shared
from petrelhall.operator.shared import decode
from petrelhall.replica.upstream import Upstream

SHARED_ENTRY = "shared"  # the configuration entry with the shared policy; gateways ignore all others
MIN_TICK_DELAY_MS = 1.0  # shortest delay until the next tick


class SharedChecks:
    """Checks whether this gateway's own settings allow it to serve a configuration's shared policy."""

    def __init__(self, check: Callable[[Shared], str]) -> None:
        self.check = check

    def delta(self, document: Document, delta: Delta) -> str:
        """Return why a change cannot be served by this gateway; empty if it can."""
        return next((self.entry_problem(entry.value) for entry in delta.put if entry.key == SHARED_ENTRY), "")

    def whole(self, document: Document) -> str:
        """Return why a complete configuration cannot be served by this gateway; empty if it can."""
        content = document.entries.get(SHARED_ENTRY)
        return self.entry_problem(content) if content is not None else ""

    def entry_problem(self, content: bytes) -> str:
        """Return why an encoded shared policy cannot be served by this gateway; empty if it can."""
        try:
            return self.check(decode(content))
        except OperatorError as error:
            return str(error)


class ConfigurationLearner:
    """One gateway's learner; created only if the operators' file turns ``distribution`` on."""

    change_command = "petrelhall config put"

    def __init__(
        self,
        loop: Loop,
        settings: Settings,
        platform: api.Settings,
        shared: Shared,
        check: Callable[[Shared], str],
        apply: Callable[[Shared, Shared | None], None],
        counts: Counts,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.settings, self.counts, self.log = loop, settings, counts, log
        self.shared, self.apply = shared, apply
        addresses = list(map(parse_address, settings.distributors))
        start = platform.position % len(addresses)  # spreads gateways that share one list over the distributors
        self.core = Learner(
            platform.position,
            # The incarnation: random, so that it differs from those of earlier processes.
            int.from_bytes(os.urandom(4), "big") >> 1 | 1,
            replace(Timing(), lease_ms=settings.lease_ms),
            len(addresses),
            SharedChecks(check),
            # The seed: not the configured one, since gateways that share it would act at the same times.
            int.from_bytes(os.urandom(4), "big"),
            now_ms(),
        )
        self.upstream = Upstream(loop, addresses[start:] + addresses[:start], self.handle, log)
        self.epoch = 0  # of the policy served; decisions made in another epoch are not carried out
        self.wake_callbacks: set[Callable[[], None]] = set()
        self.last_held_at = -math.inf  # last time at which requests could be decided on
        self.ended = self.was_ready = False  # was_ready: requests could be decided on at least once
        self.timer: Timer | None = None
        self.schedule_tick()

    # Called when requests are decided on

    def holds(self, epoch: int | None = None) -> bool:
        """Return whether a request may be decided on now or, for a past decision's epoch, whether it still stands."""
        if epoch is not None and epoch != self.epoch:
            return False
        now = now_ms()
        if self.core.admits(now) is not None or self.serves_own_file():
            self.last_held_at, self.was_ready = now, True
            return True
        return False

    def serves_own_file(self) -> bool:
        """Return whether this gateway serves its own file's policy because it has received no other yet."""
        return self.settings.begin == "file" and not self.core.informed

    def admitted(self, request: Request) -> None:
        """Add the header that tells servers under which version a request is admitted, if the settings ask for it."""
        if self.settings.stamp and isinstance(request.message, ForwardedRequest):
            version = self.core.document.name
            # The time is on the machine's monotonic clock, which all processes of a machine share.
            header = b"%d %s one %.3f" % (
                version.number,
                version.digest.hex()[:8].encode(),
                self.last_held_at - OFFSET_MS,
            )
            request.message.headers.append((b"X-Policy", header))

    def worth_waiting(self) -> float:
        """Return for how many ms a request should wait for a policy change that is about to take effect, or 0."""
        return max(0.0, self.last_held_at + self.settings.wait_ms - now_ms())

    def wait(self, wake: Callable[[], None], off: bool = False) -> None:
        """Register a task to be woken once requests may be decided on, or remove it (``off``)."""
        (self.wake_callbacks.discard if off else self.wake_callbacks.add)(wake)

    # Events and actions of the core

    def schedule_tick(self) -> None:
        """Schedule the next tick for when the core has something to do."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(max(self.core.due(), now_ms() + MIN_TICK_DELAY_MS), lambda: self.handle(Tick()))

    def handle(self, event: LearnerEvent) -> None:
        """Pass an event to the core and carry out its actions in order."""
        if self.ended:
            return
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, Connect | Disconnect | SendWatch):
                self.upstream.carry_out(action)
            elif isinstance(action, PutInForce):
                self.put_in_force(action)
            elif isinstance(action, Notified):
                self.log(f"configuration: {action.what}")
            elif isinstance(action, Dropped):
                self.counts.add("distribution", f"dropped_{action.why}")
        self.schedule_tick()
        if (self.wake_callbacks or not self.was_ready) and self.holds():
            for wake in list(self.wake_callbacks):
                wake()

    def put_in_force(self, action: PutInForce) -> None:
        """Apply a version; requests are decided on by it only while a lease on it is held."""
        self.epoch += 1
        self.counts.add("distribution", "in_force")
        content = self.core.document.entries.get(SHARED_ENTRY)
        self.apply(decode(content) if content is not None else self.shared, None)
        self.log(f"configuration: version {action.version.number} is in force here")

    def on_operator_file_changed(self) -> None:
        """Do nothing: a configuration that could not be served is checked again with its next change."""

    def hand_over(self) -> None:
        """Stop learning: a newer process of this gateway takes over. The current lease is left to expire."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.upstream.end()

    def view(self) -> dict[str, Any]:
        """Return the state for ``GET /control/configuration``."""
        now, core = now_ms(), self.core
        version = core.document.name
        return {
            "gateway": core.number,
            "incarnation": core.incarnation,
            "version": version.number,
            "digest": version.digest.hex(),
            "age_ms": round(now - core.changed_at),
            "active": core.active.number,
            "staged": core.staged.target.number if core.staged is not None else 0,
            "lease_ms": max(0, round(core.lease_until - now)) if core.admits(now) is not None else 0,
            "state": "serving" if self.holds() else "unsure",
            "connected": core.connected,
            "distributor": self.settings.distributors[
                (core.number + max(0, core.distributor)) % len(self.settings.distributors)
            ],
            "why": core.trouble,
        }
