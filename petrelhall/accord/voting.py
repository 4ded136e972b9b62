"""Ballots on the next version (single-decree Paxos), for proposers and voters: requests, promises and votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.change import Ballot, ballot_number

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore

# Base delay before other voters finish a ballot that was voted on but not decided; each voter waits a little longer
# than the one before it, so that they do not compete.
TAKEOVER_DELAY_MS = 400.0


class Voting:
    """A member's part in ballots, as a proposer and as a voter."""

    def __init__(self, core: ConsensusCore) -> None:
        self.core = core
        self.highest_ballot_seen = 0

    def advance(self, now: float) -> None:
        """Continue the open ballot, or begin one for a change proposed here or for an unfinished vote."""
        core = self.core
        ballot = core.ballot
        if ballot is not None and not ballot.is_open(now, core.pace):
            ballot = core.ballot = None
        if ballot is None:
            own_digest = core.proposals.digest_to_decide()
            if own_digest is not None or self.has_unfinished_vote(now):
                ballot = core.ballot = self.begin_ballot(now, own_digest or core.last_decision.digest)
        if ballot is not None and now - ballot.last_sent_at >= core.pace.retry_ms:
            self.send_requests(now, ballot)

    def has_unfinished_vote(self, now: float) -> bool:
        """Return whether this voter voted for an undecided value whose proposer seems to have stopped."""
        core = self.core
        voter = core.voter
        if voter is None or not voter.has_state or not voter.state.accepted:
            return False
        position = sorted(core.pace.voters).index(core.number)
        return (
            now - voter.accepted_at
            >= TAKEOVER_DELAY_MS + 2.0 * position * core.pace.retry_ms + core.pace.ballot_ms / 2.0
        )

    def begin_ballot(self, now: float, own_digest: bytes) -> Ballot:
        """Begin a ballot with a number higher than any seen."""
        core = self.core
        promised = core.voter.state.promised if core.voter is not None else 0
        self.highest_ballot_seen = ballot_number(max(self.highest_ballot_seen, promised), core.number, core.incarnation)
        return Ballot(core.last_decision.version + 1, self.highest_ballot_seen, now, own_digest)

    def send_requests(self, now: float, ballot: Ballot) -> None:
        """Send prepare or accept requests to the voters that have not answered; the local voter answers directly."""
        core = self.core
        ballot.last_sent_at = now
        voter, previous_digest = core.voter, core.last_decision.digest
        if voter is not None and voter.has_state and not ballot.value and core.number not in ballot.promises:
            if voter.promise(ballot.number):
                core.persist()
                core.record_promise(now, ballot, core.number, voter.state.accepted, voter.state.value)
        if not ballot.value:
            for number in core.pace.voters - set(ballot.promises):
                core.outbox.send(number, words.Prepare(core.incarnation, ballot.slot, ballot.number, previous_digest))
            return
        if voter is not None and voter.has_state and core.number not in ballot.votes:
            if voter.accept(now, ballot.number, ballot.value):
                core.persist()
                core.record_vote(now, ballot, core.number)
        for number in core.pace.voters - ballot.votes:
            if core.ballot is ballot:  # otherwise the local vote has just decided it
                core.outbox.send(
                    number, words.Accept(core.incarnation, ballot.slot, ballot.number, ballot.value, previous_digest)
                )

    def can_vote(self, now: float, sender: int, slot: int, previous_digest: bytes) -> bool:
        """Return whether this gateway may vote on a slot now, after learning what the request implies."""
        core = self.core
        other_slot = core.decisions.not_next_slot(now, sender, slot, previous_digest)
        return not other_slot and core.voter is not None and core.voter.has_state

    def on_prepare(self, now: float, sender: int, message: words.Prepare) -> None:
        """Answer a prepare request: promise, or reject it with the number of the higher ballot promised."""
        core = self.core
        if not self.can_vote(now, sender, message.slot, message.previous_digest):
            return
        assert core.voter is not None
        self.highest_ballot_seen = max(self.highest_ballot_seen, message.ballot)
        if core.voter.promise(message.ballot):
            core.persist()
            state = core.voter.state
            core.outbox.send(
                sender,
                words.Promise(
                    core.incarnation, message.incarnation, message.slot, message.ballot, state.accepted, state.value
                ),
            )
        else:
            core.outbox.send(
                sender, words.Nack(core.incarnation, message.incarnation, message.slot, core.voter.state.promised)
            )

    def on_accept(self, now: float, sender: int, message: words.Accept) -> None:
        """Answer an accept request: vote, or reject it with the number of the higher ballot promised."""
        core = self.core
        if not self.can_vote(now, sender, message.slot, message.previous_digest):
            return
        assert core.voter is not None
        self.highest_ballot_seen = max(self.highest_ballot_seen, message.ballot)
        core.transfer.fetch(message.digest, sender)
        if core.voter.accept(now, message.ballot, message.digest):
            core.persist()
            core.outbox.send(
                sender, words.Accepted(core.incarnation, message.incarnation, message.slot, message.ballot)
            )
        else:
            core.outbox.send(
                sender, words.Nack(core.incarnation, message.incarnation, message.slot, core.voter.state.promised)
            )

    def on_promise(self, now: float, sender: int, message: words.Promise) -> None:
        """Count a promise for the open ballot."""
        core = self.core
        ballot = core.ballot
        if (
            ballot is not None
            and (ballot.slot, ballot.number) == (message.slot, message.ballot)
            and sender in core.pace.voters
            and ballot.is_open(now, core.pace)
        ):
            core.record_promise(now, ballot, sender, message.accepted, message.digest)

    def on_accepted(self, now: float, sender: int, message: words.Accepted) -> None:
        """Count a vote in the open ballot."""
        core = self.core
        ballot = core.ballot
        if (
            ballot is not None
            and (ballot.slot, ballot.number) == (message.slot, message.ballot)
            and sender in core.pace.voters
            and ballot.is_open(now, core.pace)
        ):
            core.record_vote(now, ballot, sender)

    def on_nack(self, now: float, sender: int, message: words.Nack) -> None:
        """Handle a rejection: end the local ballot and begin the next after a random delay."""
        core = self.core
        self.highest_ballot_seen = max(self.highest_ballot_seen, message.ballot)
        ballot = core.ballot
        if ballot is not None and ballot.slot == message.slot and ballot.number < message.ballot:
            ballot.started_at = min(
                ballot.started_at, now - core.pace.ballot_ms + core.random.uniform(0.0, 2.0) * core.pace.retry_ms
            )
