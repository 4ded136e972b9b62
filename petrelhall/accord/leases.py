"""Leases: asking for one on what is decided, granting them as a voter, and serving what one is held on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.events import Serve
from petrelhall.accord.words import EITHER_LEASE, FULL_LEASE, NO_LEASE
from petrelhall.events import Dropped

if TYPE_CHECKING:
    from petrelhall.accord.core import Accord


class Leases:
    """A member's own lease, and those that it grants where it votes."""

    def __init__(self, core: Accord, now: float) -> None:
        self.core = core
        self.next_ask = now
        self.asked: dict[int, float] = {}  # by voter: when it was last asked for a lease
        self.versions: dict[int, tuple[int, float]] = {}  # by member: the version that it last asked a lease on, when

    def renew(self, now: float) -> None:
        """Ask for a lease on what is decided, again and again."""
        core = self.core
        if core.certain and now >= self.next_ask:
            self.ask(now, core.pace.voters)
            missing = core.history.missing(core.known.version)
            if missing is not None:
                core.outbox.send(core.random.choice(sorted(core.pace.voters)), words.Older(core.life, missing))
            holds = core.holder.until[FULL_LEASE] > now
            self.next_ask = now + (core.pace.renewal_interval_ms if holds else core.pace.acquire_interval_ms)

    def ask(self, now: float, voters: frozenset[int]) -> None:
        """Ask for a lease, where the document is held and can be served here; else give back what was before."""
        core = self.core
        digest = core.known.digest
        held = digest in core.documents.held
        reason = core.checks.reason(digest) if held else ""
        if held:
            core.trouble = f"version {core.known.version} cannot be served here: {reason}" if reason else ""
        ask = words.Ask(
            core.life,
            core.holder.ask(now),
            core.known.version,
            digest,
            int(core.pace.lease_duration_ms),
            held and not reason,
            self.before() is not None,
        )
        self.versions[core.number] = core.known.version, now
        for number in sorted(voters):
            self.asked[number] = now
            core.outbox.send(number, ask)
        if core.voter is not None and core.number in voters:
            kind = core.voter.grant(now, core.number, ask)
            if kind != NO_LEASE:
                core.holder.granted(core.number, ask.nonce, kind, float(ask.lease_ms))
            self.clear(now)

    def before(self) -> bytes | None:
        """Give the digest of the version before the decided one, where its document is held and can be served."""
        core = self.core
        digest = core.history.digest(core.known.version - 1)
        return digest if digest in core.documents.held and not core.checks.reason(digest) else None

    def on_ask(self, now: float, sender: int, message: words.Ask) -> None:
        """Answer with a lease, or with what is decided."""
        core = self.core
        core.learn(now, message.version, message.digest, sender)
        self.versions[sender] = message.version, now
        if core.voter is None:
            return
        kind = core.voter.grant(now, sender, message)
        if kind != NO_LEASE or sender not in core.voter.waiting:  # one that waits is answered once there is an answer
            self.answer(now, sender, message, kind)
        self.clear(now)

    def answer(self, now: float, to: int, ask: words.Ask, kind: int) -> None:
        """Tell an asker what it got."""
        core = self.core
        assert core.voter is not None
        if to == core.number:
            core.holder.granted(to, ask.nonce, kind, float(ask.lease_ms))
        elif core.certain:
            core.outbox.send(
                to,
                words.Grant(
                    core.life,
                    ask.incarnation,
                    ask.nonce,
                    kind,
                    ask.lease_ms,
                    core.known.version,
                    core.known.digest,
                    words.encode_bitmap(core.voter.holders(now)),
                ),
            )

    def clear(self, now: float) -> None:
        """Grant to those that waited until this voter was clear of earlier versions."""
        core = self.core
        assert core.voter is not None
        for member, ask in core.voter.cleared(now):
            self.answer(now, member, ask, core.voter.grant(now, member, ask))

    def on_grant(self, now: float, sender: int, message: words.Grant) -> None:
        """Take a lease in, or learn that another version is decided."""
        core = self.core
        core.learn(now, message.version, message.digest, sender)
        if message.version == core.known.version and message.kind != NO_LEASE:
            if not core.holder.granted(sender, message.nonce, message.kind, float(message.lease_ms)):
                core.outbox.actions.append(Dropped("late"))

    def serve(self, now: float) -> None:
        """Serve what the lease is on."""
        core = self.core
        digest = core.known.digest
        if not core.certain or digest not in core.documents.held:
            return
        full = core.holder.until[FULL_LEASE] > now
        before = None if full else self.before()
        if not full and (before is None or core.holder.until[EITHER_LEASE] <= now):
            return
        core.kind = FULL_LEASE if full else EITHER_LEASE
        wanted = core.known.version, digest, before
        if wanted != core.serving:
            core.serving = wanted
            held = core.documents.held
            core.outbox.actions.append(Serve(core.known.version, held[digest], held[before] if before else None))
            for change in core.changes:
                if not change.over and change.slot <= core.known.version:
                    core.proposals.report_outcome(now, change)

    def owed(self, now: float) -> list[int]:
        """Give the members that are not known to have the decided version, as far as this gateway hears."""
        core = self.core
        return [
            number
            for number in range(core.pace.members)
            if self.versions.get(number, (-1, 0.0))[0] < core.known.version
            or now - self.versions[number][1] > 2.0 * core.pace.lease_duration_ms
        ]
