"""Leases: asking for one on what is decided, granting them as a voter, and serving what one is held on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.events import Serve
from petrelhall.accord.words import EITHER, FULL, NONE
from petrelhall.events import Dropped

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore


class Leases:
    """A member's own lease, and those that it grants where it votes."""

    def __init__(self, core: ConsensusCore, now: float) -> None:
        self.core = core
        self.next_ask = now
        self.asked: dict[int, float] = {}  # by voter: when it was last asked for a lease
        self.versions: dict[int, tuple[int, float]] = {}  # by member: the version that it last asked a lease on, when

    def renew(self, now: float) -> None:
        """Ask for a lease on what is decided, again and again."""
        core = self.core
        if core.has_decision and now >= self.next_ask:
            self.ask(now, core.pace.voters)
            missing = core.history.missing(core.last_decision.version)
            if missing is not None:
                core.outbox.send(core.random.choice(sorted(core.pace.voters)), words.Older(core.incarnation, missing))
            holds = core.holder.until[FULL] > now
            self.next_ask = now + (core.pace.ask_ms if holds else core.pace.again_ms)

    def ask(self, now: float, voters: frozenset[int]) -> None:
        """Ask for a lease, where the document is held and can be served here; else give back what was before."""
        core = self.core
        digest = core.last_decision.digest
        held = digest in core.documents.held
        reason = core.checks.reason(digest) if held else ""
        if held:
            core.not_serving_reason = (
                f"version {core.last_decision.version} cannot be served here: {reason}" if reason else ""
            )
        ask = words.Ask(
            core.incarnation,
            core.holder.ask(now),
            core.last_decision.version,
            digest,
            int(core.pace.life_ms),
            held and not reason,
            self.before() is not None,
        )
        self.versions[core.number] = core.last_decision.version, now
        for number in sorted(voters):
            self.asked[number] = now
            core.outbox.send(number, ask)
        if core.voter is not None and core.number in voters:
            kind = core.voter.grant(now, core.number, ask)
            if kind != NONE:
                core.holder.granted(core.number, ask.nonce, kind, float(ask.ms))
            self.clear(now)

    def before(self) -> bytes | None:
        """Give the digest of the version before the decided one, where its document is held and can be served."""
        core = self.core
        digest = core.history.digest(core.last_decision.version - 1)
        return digest if digest in core.documents.held and not core.checks.reason(digest) else None

    def on_ask(self, now: float, sender: int, message: words.Ask) -> None:
        """Answer with a lease, or with what is decided."""
        core = self.core
        core.learn(now, message.version, message.digest, sender)
        self.versions[sender] = message.version, now
        if core.voter is None:
            return
        kind = core.voter.grant(now, sender, message)
        if (
            kind != NONE or sender not in core.voter.waiting_requests
        ):  # one that waits is answered once there is an answer
            self.answer(now, sender, message, kind)
        self.clear(now)

    def answer(self, now: float, to: int, ask: words.Ask, kind: int) -> None:
        """Tell an asker what it got."""
        core = self.core
        assert core.voter is not None
        if to == core.number:
            core.holder.granted(to, ask.nonce, kind, float(ask.ms))
        elif core.has_decision:
            core.outbox.send(
                to,
                words.Grant(
                    core.incarnation,
                    ask.life,
                    ask.nonce,
                    kind,
                    ask.ms,
                    core.last_decision.version,
                    core.last_decision.digest,
                    words.bitmap(core.voter.lease_holders(now)),
                ),
            )

    def clear(self, now: float) -> None:
        """Grant to those that waited until this voter was clear of earlier versions."""
        core = self.core
        assert core.voter is not None
        for member, ask in core.voter.take_ready_requests(now):
            self.answer(now, member, ask, core.voter.grant(now, member, ask))

    def on_grant(self, now: float, sender: int, message: words.Grant) -> None:
        """Take a lease in, or learn that another version is decided."""
        core = self.core
        core.learn(now, message.version, message.digest, sender)
        if message.version == core.last_decision.version and message.kind != NONE:
            if not core.holder.granted(sender, message.nonce, message.kind, float(message.ms)):
                core.outbox.actions.append(Dropped("late"))

    def serve(self, now: float) -> None:
        """Serve what the lease is on."""
        core = self.core
        digest = core.last_decision.digest
        if not core.has_decision or digest not in core.documents.held:
            return
        full = core.holder.until[FULL] > now
        before = None if full else self.before()
        if not full and (before is None or core.holder.until[EITHER] <= now):
            return
        core.lease_kind = FULL if full else EITHER
        wanted = core.last_decision.version, digest, before
        if wanted != core.serving:
            core.serving = wanted
            held = core.documents.held
            core.outbox.actions.append(
                Serve(core.last_decision.version, held[digest], held[before] if before else None)
            )
            for change in core.changes:
                if not change.over and change.slot <= core.last_decision.version:
                    core.proposals.outcome(now, change)

    def owed(self, now: float) -> list[int]:
        """Give the members that are not known to have the decided version, as far as this gateway hears."""
        core = self.core
        return [
            number
            for number in range(core.pace.members)
            if self.versions.get(number, (-1, 0.0))[0] < core.last_decision.version
            or now - self.versions[number][1] > 2.0 * core.pace.life_ms
        ]
