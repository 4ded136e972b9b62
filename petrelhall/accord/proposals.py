"""Changes that operators propose here: checked by every member that may serve, decided, and their outcome reported."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from petrelhall.accord import words
from petrelhall.accord.change import Change
from petrelhall.accord.documents import MAX_DOCUMENT_BYTES, digest_of
from petrelhall.accord.events import Notice, Propose
from petrelhall.accord.words import FULL_LEASE

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore

MAX_CHANGES = 64  # remembered; the oldest is dropped
COPIES_PER_PIECE = 3.0  # times that a piece of a document may have to be sent to each member, with messages lost
OUTCOME_BALLOTS = 4.0  # ballot durations after which the outcome of a change that is being decided counts as unknown


class Proposals:
    """The changes proposed at this gateway, and its checks of those proposed elsewhere."""

    def __init__(self, core: ConsensusCore) -> None:
        self.core = core
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)  # the latest last

    def propose(self, now: float, event: Propose) -> None:
        """Start a change, or end it at once with the reason why it is impossible."""
        core = self.core
        digest = digest_of(event.content)
        change = Change(digest, event.base + 1, core.last_decision.digest, now)
        for known in self.changes:  # proposing the same document again is no new change
            if (known.digest, known.slot) == (digest, change.slot) and (
                not known.finished or known.state == "in force"
            ):
                return
        self.changes.append(change)
        busy = [one for one in self.changes if one is not change and not one.finished and one.slot == change.slot]
        reason = ""
        if len(event.content) > MAX_DOCUMENT_BYTES:
            reason = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        elif not core.has_decision:
            reason = core.not_serving_reason or "this gateway does not know yet which version is in force"
        elif event.base != core.last_decision.version:
            reason = f"made for version {event.base}, but version {core.last_decision.version} is decided"
        elif busy:
            reason = "another change of this version is in progress at this gateway"
        if reason:
            return self.end(now, change, "nowhere", {-1: reason})
        core.store_document(event.content)
        refusal = core.checks.reason(digest)
        self.record_opinion(now, change, core.number, 2 if refusal else 1, refusal)

    def abort(self, now: float, digest: bytes) -> None:
        """Withdraw a change on which no vote was requested yet."""
        for change in self.changes:
            if change.digest == digest and change.state == "checking":
                self.end(now, change, "nowhere", {-1: "withdrawn by the operator"})

    def settle(self, now: float) -> None:
        """Close the next slot: with the document voted on in it, if any, else with the one in force, unchanged."""
        core = self.core
        if not core.has_decision or any(change.settles and not change.finished for change in self.changes):
            return
        self.changes.append(
            Change(
                core.last_decision.digest,
                core.last_decision.version + 1,
                core.last_decision.digest,
                now,
                "deciding",
                settles=True,
            )
        )

    def advance(self, now: float) -> None:
        """Advance the open changes."""
        for change in self.changes:
            if not change.finished:
                self.advance_change(now, change)

    def digest_to_decide(self) -> bytes | None:
        """Return the digest of the change that waits for a ballot on the next version, if any."""
        return next(
            (
                change.digest
                for change in self.changes
                if change.state == "deciding" and change.slot == self.core.last_decision.version + 1
            ),
            None,
        )

    def advance_change(self, now: float, change: Change) -> None:
        """Advance one change by a step."""
        core = self.core
        if core.last_decision.version >= change.slot:
            return self.report_outcome(now, change)
        if change.state == "checking":
            self.advance_checks(now, change)
        elif (
            change.state == "deciding"
            and now - change.started_at > self.check_timeout_ms(change) + OUTCOME_BALLOTS * core.pace.ballot_ms
        ):
            if change.voted_on or change.settles:
                change.end(now, "not known")
                core.ballot = None
            else:
                self.end(now, change, "nowhere", {-1: "no majority of the voters answered"})

    def advance_checks(self, now: float, change: Change) -> None:
        """Move a change on to its ballot once all members that may serve have approved it.

        Until then they are asked again, and after the timeout the change ends.
        """
        core = self.core
        if core.voter is not None and core.voter.has_state and now >= core.voter.fence_until:
            change.holders[core.number] = core.voter.lease_holders(now)
        needed = change.required_members(core.pace)
        if needed is not None and all(change.opinions.get(number) == 1 for number in needed):
            change.state = "deciding"
        elif now - change.started_at > self.check_timeout_ms(change):
            silent = sorted((needed or set(core.pace.voters)) - set(change.opinions))
            behind = sorted(number for number, verdict in change.opinions.items() if not verdict)
            reason = f"no answer from {silent}" if silent else f"members {behind} have not received the whole document"
            self.end(now, change, "nowhere", {-1: reason})
        elif now - change.last_sent_at >= 1.5 * core.pace.retry_ms:
            self.ask_for_checks(now, change)

    def ask_for_checks(self, now: float, change: Change) -> None:
        """Ask all voters for their opinions, and the other members that have not given one."""
        core = self.core
        change.last_sent_at = now
        content = core.documents.held.get(change.digest, b"")
        included = content if len(content) <= words.PIECE_BYTES else b""
        message = words.Check(core.incarnation, change.slot, change.digest, change.previous_digest, included)
        others = [number for number in range(core.pace.members) if number != core.number]
        voters = [number for number in others if number in core.pace.voters]
        others_without_opinion = [
            number for number in others if number not in core.pace.voters and not change.opinions.get(number)
        ]
        core.random.shuffle(others_without_opinion)
        for number in voters + others_without_opinion:
            if not core.outbox.send(number, message, 2.0 * len(core.pace.voters)):
                break

    def check_timeout_ms(self, change: Change) -> float:
        """Return the time in which all members must have checked a change; a long document takes longer to transfer."""
        core = self.core
        pieces = len(core.documents.held.get(change.digest, b"")) / words.PIECE_BYTES
        return (
            core.pace.check_ms + COPIES_PER_PIECE * 1000.0 * pieces * core.pace.members / core.pace.receive_rate_per_s
        )

    def report_outcome(self, now: float, change: Change) -> None:
        """Derive the outcome of a change from the decision of its slot."""
        core = self.core
        decided = core.history.digest(change.slot)
        if decided is None:
            change.state = "not known"
        elif decided != change.digest:
            self.end(now, change, "nowhere", {-1: f"another document was decided as version {change.slot}"})
        elif core.last_decision.version > change.slot or (
            core.serving is not None and core.lease_kind == FULL_LEASE and core.can_admit(now)
        ):
            self.end(now, change, "in force")
        elif change.state != "decided":
            change.end(now, "decided")

    def end(self, now: float, change: Change, state: Any, reasons: dict[int, str] | None = None) -> None:
        """End a change, and report its outcome."""
        core = self.core
        if change.finished:
            return
        change.end(now, state, reasons)
        reasons_text = "; ".join(
            f"{number}: {reason}" if number >= 0 else reason for number, reason in change.reasons.items()
        )
        core.outbox.actions.append(
            Notice(
                f"change {change.digest.hex()[:8]} for version {change.slot}: {state}"
                + (f" ({reasons_text})" if reasons_text else "")
            )
        )

    def on_check(self, now: float, sender: int, message: words.Check) -> None:
        """Answer whether this gateway could serve a proposed document; fetch the document if it is missing."""
        core = self.core
        if core.decisions.not_next_slot(now, sender, message.slot, message.previous_digest):
            return
        if (
            message.content
            and digest_of(message.content) == message.digest
            and message.digest not in core.documents.held
        ):
            core.store_document(message.content)
        core.transfer.fetch(message.digest, sender)
        held = message.digest in core.documents.held
        reason = core.checks.reason(message.digest) if held else ""
        knows_holders = core.voter is not None and core.voter.has_state and now >= core.voter.fence_until
        holders = core.voter.lease_holders(now) if core.voter is not None and knows_holders else set()
        core.outbox.send(
            sender,
            words.Opinion(
                core.incarnation,
                message.incarnation,
                message.slot,
                message.digest,
                (2 if reason else 1) * held,
                truncate_reason(reason),
                knows_holders,
                words.encode_bitmap(holders),
            ),
        )

    def on_opinion(self, now: float, sender: int, message: words.Opinion) -> None:
        """Receive the result of another gateway's checks."""
        core = self.core
        for change in self.changes:
            if change.state == "checking" and (change.slot, change.digest) == (message.slot, message.digest):
                self.record_opinion(now, change, sender, message.verdict, message.reason)
                if message.reports_holders and sender in core.pace.voters:
                    change.holders[sender] = words.decode_bitmap(message.holders)

    def record_opinion(self, now: float, change: Change, member: int, verdict: int, reason: str) -> None:
        """Record an opinion; a change ends if a single gateway could not serve it."""
        change.opinions[member] = verdict
        if verdict == 2:
            self.end(now, change, "nowhere", {member: reason})


def truncate_reason(reason: str) -> str:
    """Return as much of a reason as fits into a message."""
    return reason.encode()[: words.MAX_REASON_BYTES].decode(errors="ignore")
