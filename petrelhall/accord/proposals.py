"""Changes that operators propose here: checked by every member that may serve, decided, and told how they ended."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from petrelhall.accord import words
from petrelhall.accord.change import Change
from petrelhall.accord.documents import MAX_DOCUMENT_BYTES, digest_of
from petrelhall.accord.events import Propose, Told
from petrelhall.accord.words import FULL_LEASE

if TYPE_CHECKING:
    from petrelhall.accord.core import Accord

KEPT = 64  # changes that are remembered
COPIES = 3.0  # of each piece of a document that may have to be sent to each member
GIVE_UP = 4.0  # ballots' times, after which a change that may have been decided counts as not known


class Proposals:
    """The changes proposed at this gateway, and its opinion on those of others."""

    def __init__(self, core: Accord) -> None:
        self.core = core
        self.changes: deque[Change] = deque(maxlen=KEPT)  # the latest last

    def propose(self, now: float, event: Propose) -> None:
        """Begin a change, or say at once why it cannot be."""
        core = self.core
        digest = digest_of(event.content)
        change = Change(digest, event.base + 1, core.known.digest, now)
        for known in self.changes:  # the same document proposed again is the same change
            if (known.digest, known.slot) == (digest, change.slot) and (not known.over or known.state == "in force"):
                return
        self.changes.append(change)
        busy = [one for one in self.changes if one is not change and not one.over and one.slot == change.slot]
        reason = ""
        if len(event.content) > MAX_DOCUMENT_BYTES:
            reason = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        elif not core.certain:
            reason = core.trouble or "this gateway does not know yet what is in force"
        elif event.base != core.known.version:
            reason = f"made for version {event.base}, decided is {core.known.version}"
        elif busy:
            reason = "another change is on its way here"
        if reason:
            return self.end(now, change, "nowhere", {-1: reason})
        core.hold(event.content)
        refused = core.checks.reason(digest)
        self.opinion(now, change, core.number, 2 if refused else 1, refused)

    def abort(self, now: float, digest: bytes) -> None:
        """Take back what has not been voted on."""
        for change in self.changes:
            if change.digest == digest and change.state == "checking":
                self.end(now, change, "nowhere", {-1: "taken back"})

    def settle(self, now: float) -> None:
        """Close the next slot, with what was voted on in it or with what is in force as it is."""
        core = self.core
        if not core.certain or any(change.settles and not change.over for change in self.changes):
            return
        self.changes.append(
            Change(core.known.digest, core.known.version + 1, core.known.digest, now, "deciding", settles=True)
        )

    def advance(self, now: float) -> None:
        """Go on with the changes that are open."""
        for change in self.changes:
            if not change.over:
                self.follow(now, change)

    def digest_to_decide(self) -> bytes | None:
        """Give the digest of the change that waits for a ballot on the next version, if there is one."""
        return next(
            (
                change.digest
                for change in self.changes
                if change.state == "deciding" and change.slot == self.core.known.version + 1
            ),
            None,
        )

    def follow(self, now: float, change: Change) -> None:
        """Take one change a step further."""
        core = self.core
        if core.known.version >= change.slot:
            return self.report_outcome(now, change)
        if change.state == "checking":
            self.follow_checks(now, change)
        elif change.state == "deciding" and now - change.began > self.patience(change) + GIVE_UP * core.pace.ballot_ms:
            if change.voted_on or change.settles:
                change.end(now, "not known")
                core.ballot = None
            else:
                self.end(now, change, "nowhere", {-1: "no majority of the voters answered"})

    def follow_checks(self, now: float, change: Change) -> None:
        """Have a change decided once all that may serve have checked it; ask them again, or end it after its time."""
        core = self.core
        if core.voter is not None and core.voter.remembers and now >= core.voter.fence:
            change.holders[core.number] = core.voter.holders(now)
        needed = change.needed(core.pace)
        if needed is not None and all(change.opinions.get(number) == 1 for number in needed):
            change.state = "deciding"
        elif now - change.began > self.patience(change):
            silent = sorted((needed or set(core.pace.voters)) - set(change.opinions))
            behind = sorted(number for number, verdict in change.opinions.items() if not verdict)
            reason = f"no answer from {silent}" if silent else f"{behind} have not got the whole of it"
            self.end(now, change, "nowhere", {-1: reason})
        elif now - change.asked >= 1.5 * core.pace.retry_ms:
            self.ask_for_checks(now, change)

    def ask_for_checks(self, now: float, change: Change) -> None:
        """Ask all voters for their opinions, and of the others those that have none yet."""
        core = self.core
        change.asked = now
        content = core.documents.held.get(change.digest, b"")
        whole = content if len(content) <= words.PIECE_BYTES else b""
        message = words.Check(core.life, change.slot, change.digest, change.before, whole)
        others = [number for number in range(core.pace.members) if number != core.number]
        voters = [number for number in others if number in core.pace.voters]
        rest = [number for number in others if number not in core.pace.voters and not change.opinions.get(number)]
        core.random.shuffle(rest)
        for number in voters + rest:
            if not core.outbox.send(number, message, 2.0 * len(core.pace.voters)):
                break

    def patience(self, change: Change) -> float:
        """Give the time in which all must have looked at a change: a long document takes its time to come."""
        core = self.core
        pieces = len(core.documents.held.get(change.digest, b"")) / words.PIECE_BYTES
        return core.pace.check_ms + COPIES * 1000.0 * pieces * core.pace.members / core.pace.receive_rate_per_s

    def report_outcome(self, now: float, change: Change) -> None:
        """Tell a change's end from what was decided in its slot."""
        core = self.core
        decided = core.history.digest(change.slot)
        if decided is None:
            change.state = "not known"
        elif decided != change.digest:
            self.end(now, change, "nowhere", {-1: f"version {change.slot} was decided to be another"})
        elif core.known.version > change.slot or (
            core.serving is not None and core.kind == FULL_LEASE and core.allowed(now)
        ):
            self.end(now, change, "in force")
        elif change.state != "decided":
            change.end(now, "decided")

    def end(self, now: float, change: Change, state: Any, reasons: dict[int, str] | None = None) -> None:
        """Have a change end."""
        core = self.core
        if change.over:
            return
        change.end(now, state, reasons)
        why = "; ".join(f"{number}: {reason}" if number >= 0 else reason for number, reason in change.reasons.items())
        core.outbox.actions.append(
            Told(f"change {change.digest.hex()[:8]} for version {change.slot}: {state}" + (f" ({why})" if why else ""))
        )

    def on_check(self, now: float, sender: int, message: words.Check) -> None:
        """Look at a document that may come, and tell what this gateway's own checks say."""
        core = self.core
        if core.decisions.behind(now, sender, message.slot, message.previous_digest):
            return
        if (
            message.content
            and digest_of(message.content) == message.digest
            and message.digest not in core.documents.held
        ):
            core.hold(message.content)
        core.transfer.seek(message.digest, sender)
        held = message.digest in core.documents.held
        reason = core.checks.reason(message.digest) if held else ""
        votes = core.voter is not None and core.voter.remembers and now >= core.voter.fence
        holders = core.voter.holders(now) if core.voter is not None and votes else set()
        core.outbox.send(
            sender,
            words.Opinion(
                core.life,
                message.incarnation,
                message.slot,
                message.digest,
                (2 if reason else 1) * held,
                short(reason),
                votes,
                words.encode_bitmap(holders),
            ),
        )

    def on_opinion(self, now: float, sender: int, message: words.Opinion) -> None:
        """Hear what another gateway's checks say."""
        core = self.core
        for change in self.changes:
            if change.state == "checking" and (change.slot, change.digest) == (message.slot, message.digest):
                self.opinion(now, change, sender, message.verdict, message.reason)
                if message.votes and sender in core.pace.voters:
                    change.holders[sender] = words.decode_bitmap(message.holders)

    def opinion(self, now: float, change: Change, member: int, verdict: int, reason: str) -> None:
        """Count an opinion; one gateway that could not serve it stops a change."""
        change.opinions[member] = verdict
        if verdict == 2:
            self.end(now, change, "nowhere", {member: reason})


def short(reason: str) -> str:
    """Give as much of a reason as a message holds."""
    return reason.encode()[: words.MAX_REASON_BYTES].decode(errors="ignore")
