"""The shared part of the policy learned from distributors: a learner's core on sockets, and what is in force applied.

Whoever decides on a request asks ``holds`` first, in the same turn: a process that stood still finds its lease gone.
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

SHARED_ENTRY = "shared"  # the configuration's entry that holds the shared part; other entries are not this gateway's
EARLIEST_MS = 1.0  # between two ticks


class SharedChecks:
    """Checks of the shared part, by this gateway's own settings."""

    def __init__(self, check: Callable[[Shared], str]) -> None:
        self.check = check

    def delta(self, document: Document, delta: Delta) -> str:
        """Say why a change cannot be served here."""
        return next((self.entry(entry.value) for entry in delta.put if entry.key == SHARED_ENTRY), "")

    def whole(self, document: Document) -> str:
        """Say why a whole configuration cannot be served here."""
        content = document.entries.get(SHARED_ENTRY)
        return self.entry(content) if content is not None else ""

    def entry(self, content: bytes) -> str:
        """Say why a shared part cannot be served here."""
        try:
            return self.check(decode(content))
        except OperatorError as error:
            return str(error)


class ConfigurationLearner:
    """One gateway's part in the distribution; not there where the operators' file does not ask for it."""

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
        first = platform.position % len(addresses)  # gateways spread over distributors where all have one list
        self.core = Learner(
            platform.position,
            int.from_bytes(os.urandom(4), "big") >> 1 | 1,  # never that of an earlier process, by chance
            replace(Timing(), lease_ms=settings.lease_ms),
            len(addresses),
            SharedChecks(check),
            int.from_bytes(os.urandom(4), "big"),  # gateways that share a seed must not share their moments
            now_ms(),
        )
        self.upstream = Upstream(loop, addresses[first:] + addresses[:first], self.handle, log)
        self.epoch = 0  # of what is served: decisions of another epoch are not carried out
        self.waiting: set[Callable[[], None]] = set()
        self.last_held_at = -math.inf  # when requests could last be decided on
        self.ended = self.was_ready = False  # begun: requests could be decided on once
        self.timer: Timer | None = None
        self.arm()

    # What decides on requests asks

    def holds(self, epoch: int | None = None) -> bool:
        """Tell whether a request may be decided on now; of a decision that was made, whether it still stands."""
        if epoch is not None and epoch != self.epoch:
            return False
        now = now_ms()
        if self.core.admits(now) is not None or self.serves_by_file():
            self.last_held_at, self.was_ready = now, True
            return True
        return False

    def serves_by_file(self) -> bool:
        """Tell whether this gateway serves by its own file, since nothing was heard yet."""
        return self.settings.begin == "file" and not self.core.informed

    def admitted(self, request: Request) -> None:
        """Tell the boxes under which version a request is let in, where they are to be told."""
        if self.settings.stamp and isinstance(request.message, ForwardedRequest):
            name = self.core.document.name
            # By the machine's monotonic clock: what all processes of a machine share.
            stamp = b"%d %s one %.3f" % (name.number, name.digest.hex()[:8].encode(), self.last_held_at - OFFSET_MS)
            request.message.headers.append((b"X-Policy", stamp))

    def worth_waiting(self) -> float:
        """Give for how many ms more a request should wait: a change is just taking hold, or 0."""
        return max(0.0, self.last_held_at + self.settings.wait_ms - now_ms())

    def wait(self, wake: Callable[[], None], off: bool = False) -> None:
        """Have a task woken once requests may be decided on, or no more."""
        (self.waiting.discard if off else self.waiting.add)(wake)

    # The core

    def arm(self) -> None:
        """Have the next tick come when it has something to do."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(max(self.core.due(), now_ms() + EARLIEST_MS), lambda: self.handle(Tick()))

    def handle(self, event: LearnerEvent) -> None:
        """Give the core an event and do as it says, in order."""
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
        self.arm()
        if (self.waiting or not self.was_ready) and self.holds():
            for wake in list(self.waiting):
                wake()

    def put_in_force(self, action: PutInForce) -> None:
        """Take a version into service; what is leased waits for its lease."""
        self.epoch += 1
        self.counts.add("distribution", "in_force")
        content = self.core.document.entries.get(SHARED_ENTRY)
        self.apply(decode(content) if content is not None else self.shared, None)
        self.log(f"configuration: version {action.version.number} is in force here")

    def on_operator_file_changed(self) -> None:
        """Hear that the own file has changed: what could not be served may be able to now, with the next change."""

    def hand_over(self) -> None:
        """A newer process of this gateway learns from now on; the lease that is held here runs out."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.upstream.end()

    def view(self) -> dict[str, Any]:
        """Give all of it, for ``GET /control/configuration``."""
        now, core = now_ms(), self.core
        name = core.document.name
        return {
            "gateway": core.number,
            "incarnation": core.incarnation,
            "version": name.number,
            "digest": name.digest.hex(),
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
