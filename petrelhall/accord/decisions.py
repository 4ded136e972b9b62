"""Learning decisions from other members, and announcing to them the decisions known here."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from petrelhall.accord import words

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore


class Decisions:
    """Announces decisions until no member is known to serve an earlier version."""

    def __init__(self, core: ConsensusCore) -> None:
        self.core = core
        self.announced_at = -math.inf  # when the latest decision was last announced

    def on_decided(self, now: float, sender: int, message: words.Decided) -> None:
        """Learn the announced decisions, and request older ones that are still missing."""
        core = self.core
        for version, digest in message.history[:1]:
            core.learn(now, version, digest, sender)
        count_before = len(core.history)
        for version, digest in message.history:
            core.history.add_earlier(version, digest)
        if (
            len(core.history) > count_before
            and (missing := core.history.latest_missing(core.last_decision.version)) is not None
        ):
            core.outbox.send(sender, words.Older(core.incarnation, missing))
        if (
            core.has_decision
            and message.history[:1] == ((core.last_decision.version, core.last_decision.digest),)
            and sender in core.pace.voters
            and now - core.leases.requested_at.get(sender, -math.inf) >= core.pace.retry_ms / 2.0
        ):
            # The voter waits to learn that this member has given back its lease on the earlier version.
            core.leases.request(now, frozenset((sender,)))

    def on_older(self, now: float, sender: int, message: words.Older) -> None:
        """Send the known decisions up to the requested version."""
        core = self.core
        found = [entry for entry in core.history if entry[0] <= message.version]
        if found:
            core.outbox.send(sender, words.Decided(core.incarnation, tuple(found[: words.MAX_DECISIONS])))

    def not_next_slot(self, now: float, sender: int, slot: int, before: bytes) -> bool:
        """Learn the decision that a message on a slot implies; return True unless the slot is the next to decide.

        A sender that asks about a slot already decided here is sent the latest decisions.
        """
        core = self.core
        core.learn(now, slot - 1, before, sender)
        if core.has_decision and slot <= core.last_decision.version:
            core.outbox.send(sender, words.Decided(core.incarnation, core.history.latest(words.MAX_DECISIONS)))
            return True
        return not core.has_decision or slot != core.last_decision.version + 1

    def announce(self, now: float) -> None:
        """Announce the latest decision to the members that may still serve an earlier version."""
        core = self.core
        if core.has_decision and core.last_decision.version and now - self.announced_at >= core.pace.retry_ms:
            outdated = core.voter.members_on_earlier_version(now) if core.voter is not None else set()
            if self.announced_at == -math.inf:  # the proposer of the decision announces it to all members once
                outdated = set(range(core.pace.members))
            self.announced_at = now
            message = words.Decided(core.incarnation, core.history.latest(words.MAX_DECISIONS))
            for number in core.random.sample(sorted(outdated), len(outdated)):
                core.outbox.send(number, message, float(len(core.pace.voters)))
