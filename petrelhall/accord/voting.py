"""Ballots on the next version (single-decree Paxos): promises and votes asked for, given and counted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.change import Ballot, ballot_number

if TYPE_CHECKING:
    from petrelhall.accord.core import Accord

TOOK_MS = 400.0  # after which others finish what was voted on and not decided, each a little later than the last


class Voting:
    """A member's part in ballots: as a voter, and as whoever began one."""

    def __init__(self, core: Accord) -> None:
        self.core = core
        self.seen_ballot = 0

    def advance(self, now: float) -> None:
        """Go on with the open ballot, or begin one for a change of this gateway's or votes that nobody finished."""
        core = self.core
        ballot = core.ballot
        if ballot is not None and not ballot.open(now, core.pace):
            ballot = core.ballot = None
        if ballot is None:
            own = core.proposals.digest_to_decide()
            if own is not None or self.unfinished(now):
                ballot = core.ballot = self.begin(now, own or core.known.digest)
        if ballot is not None and now - ballot.asked >= core.pace.retry_ms:
            self.canvass(now, ballot)

    def unfinished(self, now: float) -> bool:
        """Tell whether this voter has voted on what is not decided, and nobody seems to go on with it."""
        core = self.core
        voter = core.voter
        if voter is None or not voter.remembers or not voter.memory.accepted:
            return False
        place = sorted(core.pace.voters).index(core.number)
        return now - voter.accepted_at >= TOOK_MS + 2.0 * place * core.pace.retry_ms + core.pace.ballot_ms / 2.0

    def begin(self, now: float, own: bytes) -> Ballot:
        """Begin a ballot, later than any that was heard of."""
        core = self.core
        promised = core.voter.memory.promised if core.voter is not None else 0
        self.seen_ballot = ballot_number(max(self.seen_ballot, promised), core.number, core.life)
        return Ballot(core.known.version + 1, self.seen_ballot, now, own)

    def canvass(self, now: float, ballot: Ballot) -> None:
        """Ask the voters that have not answered, oneself among them."""
        core = self.core
        ballot.asked = now
        voter, before = core.voter, core.known.digest
        if voter is not None and voter.remembers and not ballot.value and core.number not in ballot.promises:
            if voter.promise(ballot.number):
                core.keep()
                core.promised(now, ballot, core.number, voter.memory.accepted, voter.memory.value)
        if not ballot.value:
            for number in core.pace.voters - set(ballot.promises):
                core.outbox.send(number, words.Prepare(core.life, ballot.slot, ballot.number, before))
            return
        if voter is not None and voter.remembers and core.number not in ballot.votes:
            if voter.accept(now, ballot.number, ballot.value):
                core.keep()
                core.voted(now, ballot, core.number)
        for number in core.pace.voters - ballot.votes:
            if core.ballot is ballot:  # else decided by our own vote
                core.outbox.send(number, words.Accept(core.life, ballot.slot, ballot.number, ballot.value, before))

    def voting(self, now: float, sender: int, slot: int, before: bytes) -> bool:
        """Tell whether this gateway votes on a slot now."""
        core = self.core
        later = core.decisions.behind(now, sender, slot, before)
        return not later and core.voter is not None and core.voter.remembers

    def on_prepare(self, now: float, sender: int, message: words.Prepare) -> None:
        """Promise, or tell of a later ballot."""
        core = self.core
        if not self.voting(now, sender, message.slot, message.previous_digest):
            return
        assert core.voter is not None
        self.seen_ballot = max(self.seen_ballot, message.ballot)
        if core.voter.promise(message.ballot):
            core.keep()
            memory = core.voter.memory
            core.outbox.send(
                sender,
                words.Promise(
                    core.life, message.incarnation, message.slot, message.ballot, memory.accepted, memory.value
                ),
            )
        else:
            core.outbox.send(
                sender, words.Nack(core.life, message.incarnation, message.slot, core.voter.memory.promised)
            )

    def on_accept(self, now: float, sender: int, message: words.Accept) -> None:
        """Vote, or tell of a later ballot."""
        core = self.core
        if not self.voting(now, sender, message.slot, message.previous_digest):
            return
        assert core.voter is not None
        self.seen_ballot = max(self.seen_ballot, message.ballot)
        core.transfer.seek(message.digest, sender)
        if core.voter.accept(now, message.ballot, message.digest):
            core.keep()
            core.outbox.send(sender, words.Accepted(core.life, message.incarnation, message.slot, message.ballot))
        else:
            core.outbox.send(
                sender, words.Nack(core.life, message.incarnation, message.slot, core.voter.memory.promised)
            )

    def on_promise(self, now: float, sender: int, message: words.Promise) -> None:
        """Count a promise."""
        core = self.core
        ballot = core.ballot
        if (
            ballot is not None
            and (ballot.slot, ballot.number) == (message.slot, message.ballot)
            and sender in core.pace.voters
            and ballot.open(now, core.pace)
        ):
            core.promised(now, ballot, sender, message.accepted, message.digest)

    def on_accepted(self, now: float, sender: int, message: words.Accepted) -> None:
        """Count a vote."""
        core = self.core
        ballot = core.ballot
        if (
            ballot is not None
            and (ballot.slot, ballot.number) == (message.slot, message.ballot)
            and sender in core.pace.voters
            and ballot.open(now, core.pace)
        ):
            core.voted(now, ballot, sender)

    def on_nack(self, now: float, sender: int, message: words.Nack) -> None:
        """Hear of a later ballot: ours is over, and the next waits its turn."""
        core = self.core
        self.seen_ballot = max(self.seen_ballot, message.ballot)
        ballot = core.ballot
        if ballot is not None and ballot.slot == message.slot and ballot.number < message.ballot:
            ballot.began = min(
                ballot.began, now - core.pace.ballot_ms + core.random.uniform(0.0, 2.0) * core.pace.retry_ms
            )
