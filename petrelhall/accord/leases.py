"""Leases: requesting one on the decided version, granting them as a voter, and serving the version that is leased."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.events import Serve
from petrelhall.accord.words import EITHER_LEASE, FULL_LEASE, NO_LEASE
from petrelhall.events import Dropped

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore


class Leases:
    """A member's own lease, and the leases that it grants if it is a voter."""

    def __init__(self, core: ConsensusCore, now: float) -> None:
        self.core = core
        self.next_request_at = now
        self.requested_at: dict[int, float] = {}  # by voter: when a lease was last requested from it
        # By member: the version of its last lease request, and when that request arrived.
        self.reported_versions: dict[int, tuple[int, float]] = {}

    def renew(self, now: float) -> None:
        """Request a lease on the decided version when the next request is due."""
        core = self.core
        if core.has_decision and now >= self.next_request_at:
            self.request(now, core.pace.voters)
            missing = core.history.latest_missing(core.last_decision.version)
            if missing is not None:
                core.outbox.send(core.random.choice(sorted(core.pace.voters)), words.Older(core.incarnation, missing))
            holds_lease = core.holder.expires_at[FULL_LEASE] > now
            self.next_request_at = now + (
                core.pace.renewal_interval_ms if holds_lease else core.pace.acquire_interval_ms
            )

    def request(self, now: float, voters: frozenset[int]) -> None:
        """Request a lease if the decided document is held and can be served; else only give back earlier leases."""
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
            core.holder.new_request(now),
            core.last_decision.version,
            digest,
            int(core.pace.lease_duration_ms),
            held and not reason,
            self.servable_previous() is not None,
        )
        self.reported_versions[core.number] = core.last_decision.version, now
        for number in sorted(voters):
            self.requested_at[number] = now
            core.outbox.send(number, ask)
        if core.voter is not None and core.number in voters:
            kind = core.voter.grant(now, core.number, ask)
            if kind != NO_LEASE:
                core.holder.add_grant(core.number, ask.nonce, kind, float(ask.lease_ms))
            self.grant_waiting(now)

    def servable_previous(self) -> bytes | None:
        """Return the digest of the version before the decided one, if its document is held and can be served."""
        core = self.core
        digest = core.history.digest(core.last_decision.version - 1)
        return digest if digest in core.documents.held and not core.checks.reason(digest) else None

    def on_ask(self, now: float, sender: int, message: words.Ask) -> None:
        """Answer a lease request with a grant, or with the decided version."""
        core = self.core
        core.learn(now, message.version, message.digest, sender)
        self.reported_versions[sender] = message.version, now
        if core.voter is None:
            return
        kind = core.voter.grant(now, sender, message)
        if (
            kind != NO_LEASE or sender not in core.voter.waiting_requests
        ):  # a waiting request is answered by grant_waiting
            self.answer(now, sender, message, kind)
        self.grant_waiting(now)

    def answer(self, now: float, to: int, ask: words.Ask, kind: int) -> None:
        """Report to the requesting member which kind of lease it was granted."""
        core = self.core
        assert core.voter is not None
        if to == core.number:
            core.holder.add_grant(to, ask.nonce, kind, float(ask.lease_ms))
        elif core.has_decision:
            core.outbox.send(
                to,
                words.Grant(
                    core.incarnation,
                    ask.incarnation,
                    ask.nonce,
                    kind,
                    ask.lease_ms,
                    core.last_decision.version,
                    core.last_decision.digest,
                    words.encode_bitmap(core.voter.lease_holders(now)),
                ),
            )

    def grant_waiting(self, now: float) -> None:
        """Answer the waiting requests once no lease on an earlier version granted by this voter is outstanding."""
        core = self.core
        assert core.voter is not None
        for member, ask in core.voter.take_ready_requests(now):
            self.answer(now, member, ask, core.voter.grant(now, member, ask))

    def on_grant(self, now: float, sender: int, message: words.Grant) -> None:
        """Record a grant, or learn that another version has been decided."""
        core = self.core
        core.learn(now, message.version, message.digest, sender)
        if message.version == core.last_decision.version and message.kind != NO_LEASE:
            if not core.holder.add_grant(sender, message.nonce, message.kind, float(message.lease_ms)):
                core.outbox.actions.append(Dropped("late"))

    def serve(self, now: float) -> None:
        """Start serving the leased version, and update the changes that it completes."""
        core = self.core
        digest = core.last_decision.digest
        if not core.has_decision or digest not in core.documents.held:
            return
        full = core.holder.expires_at[FULL_LEASE] > now
        previous = None if full else self.servable_previous()
        if not full and (previous is None or core.holder.expires_at[EITHER_LEASE] <= now):
            return
        core.lease_kind = FULL_LEASE if full else EITHER_LEASE
        wanted = core.last_decision.version, digest, previous
        if wanted != core.serving:
            core.serving = wanted
            held = core.documents.held
            core.outbox.actions.append(
                Serve(core.last_decision.version, held[digest], held[previous] if previous else None)
            )
            for change in core.changes:
                if not change.finished and change.slot <= core.last_decision.version:
                    core.proposals.report_outcome(now, change)

    def members_behind(self, now: float) -> list[int]:
        """Return the members not known to have the decided version, judged by lease requests received here."""
        core = self.core
        return [
            number
            for number in range(core.pace.members)
            if self.reported_versions.get(number, (-1, 0.0))[0] < core.last_decision.version
            or now - self.reported_versions[number][1] > 2.0 * core.pace.lease_duration_ms
        ]
