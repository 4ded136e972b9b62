"""Hearing of decisions from other members, and telling them of those that are known here."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from petrelhall.accord import words

if TYPE_CHECKING:
    from petrelhall.accord.core import Accord


class Decisions:
    """Spreads decisions until every member is heard to know them."""

    def __init__(self, core: Accord) -> None:
        self.core = core
        self.pushed = -math.inf  # when the last decision was last told

    def on_decided(self, now: float, sender: int, message: words.Decided) -> None:
        """Learn of decisions."""
        core = self.core
        for version, digest in message.history[:1]:
            core.learn(now, version, digest, sender)
        before = len(core.history)
        for version, digest in message.history:
            core.history.remember(version, digest)
        if len(core.history) > before and (missing := core.history.missing(core.known.version)) is not None:
            core.outbox.send(sender, words.Older(core.life, missing))
        if (
            core.certain
            and message.history[:1] == ((core.known.version, core.known.digest),)
            and sender in core.pace.voters
            and now - core.leases.asked.get(sender, -math.inf) >= core.pace.retry_ms / 2.0
        ):
            core.leases.ask(now, frozenset((sender,)))  # it waits to be told that what was before is given back

    def on_older(self, now: float, sender: int, message: words.Older) -> None:
        """Tell of earlier decisions."""
        core = self.core
        found = [entry for entry in core.history if entry[0] <= message.version]
        if found:
            core.outbox.send(sender, words.Decided(core.life, tuple(found[: words.MAX_DECISIONS])))

    def behind(self, now: float, sender: int, slot: int, before: bytes) -> bool:
        """Learn what a message on a slot implies; True where the slot is one that is decided here, which is told."""
        core = self.core
        core.learn(now, slot - 1, before, sender)
        if core.certain and slot <= core.known.version:
            core.outbox.send(sender, words.Decided(core.life, core.history.latest(words.MAX_DECISIONS)))
            return True
        return not core.certain or slot != core.known.version + 1

    def announce(self, now: float) -> None:
        """Tell of a decision until all were heard to know it."""
        core = self.core
        if core.certain and core.known.version and now - self.pushed >= core.pace.retry_ms:
            late = core.voter.earlier(now) if core.voter is not None else set()
            if self.pushed == -math.inf:  # who decided it tells all, once
                late = set(range(core.pace.members))
            self.pushed = now
            message = words.Decided(core.life, core.history.latest(words.MAX_DECISIONS))
            for number in core.random.sample(sorted(late), len(late)):
                core.outbox.send(number, message, float(len(core.pace.voters)))
