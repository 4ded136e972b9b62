"""The core of agreement: events with the time handed in, actions as values. ``docs/design/accord.md`` has the argument.

What is in force is the last document of a row of decisions, one for each version, each made by a ballot of the voters
(single-decree Paxos). A gateway serves under a version only while it holds a lease on it that a majority granted; the
voters see to it that no two versions can be held at once (``votes``). A process that starts empty has forgotten its
promises: it does nothing until no lease and no ballot can be left in which its earlier incarnation took part, and then
learns from a majority before it votes.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from petrelhall.accord import words
from petrelhall.accord.change import Ballot
from petrelhall.accord.checks import Checks
from petrelhall.accord.decisions import Decisions
from petrelhall.accord.documents import Documents
from petrelhall.accord.events import Abort, Action, Begin, Event, Keep, Propose, Serve, Settle, Told
from petrelhall.accord.history import History
from petrelhall.accord.lease import Holder
from petrelhall.accord.leases import Leases
from petrelhall.accord.outbox import Outbox
from petrelhall.accord.plan import TimingParameters
from petrelhall.accord.proposals import Proposals
from petrelhall.accord.recovery import Recovery
from petrelhall.accord.transfer import Transfer
from petrelhall.accord.view import view
from petrelhall.accord.votes import Memory, Voter
from petrelhall.accord.voting import Voting
from petrelhall.accord.words import FULL_LEASE
from petrelhall.events import Dropped, Heard, Quiet, Send, Tick

__all__ = [
    "Abort",
    "Accord",
    "Action",
    "Begin",
    "Dropped",
    "Event",
    "Heard",
    "Keep",
    "Propose",
    "Quiet",
    "Send",
    "Serve",
    "Settle",
    "Tick",
    "Told",
]


class Accord:
    """One gateway's part in agreeing: what is known and held here, and the parts that act on it."""

    def __init__(
        self,
        number: int,
        life: int,
        pace: TimingParameters,
        document: bytes,
        check: Callable[[bytes], str],
        seed: int,
        now: float,
        memory: Memory | None = None,
        documents: tuple[bytes, ...] = (),
    ) -> None:
        self.number, self.life, self.pace = number, life, pace
        self.random = random.Random(seed)
        self.documents = Documents()
        for content in documents:
            self.documents.put(content)
        self.file = self.documents.put(document)  # what the file says: version 0 where nobody knows of a later one
        self.voter = Voter(pace, memory, now) if number in pace.voters else None
        self.holder = Holder(pace)
        self.known = memory or Memory()  # the last decision known here
        self.certain = memory is not None  # whether anything is known
        self.history = History()
        self.serving: tuple[int, bytes, bytes | None] | None = None
        self.kind = FULL_LEASE
        self.ballot: Ballot | None = None
        self.may_vote = True  # the shell says otherwise while votes could not be kept
        self.kept: Memory | None = memory
        self.trouble = ""  # why nothing is served, for operators
        self.outbox = Outbox(number, pace, now)
        self.checks = Checks(check, self.documents)
        self.transfer = Transfer(life, pace, self.documents, self.outbox, self.random)
        self.decisions = Decisions(self)
        self.recovery = Recovery(self)
        self.leases = Leases(self, now)
        self.proposals = Proposals(self)
        self.voting = Voting(self)
        self.changes = self.proposals.changes
        if memory is not None:
            self.history.add(memory.version, memory.digest)

    def take_over(self, now: float, memory: Memory | None, documents: tuple[bytes, ...]) -> None:
        """Vote from now on in place of an earlier process of this member, which votes and grants no more.

        What that one granted may hold for as long as after any start; what it has kept is all that it has voted.
        """
        self.may_vote = True
        if self.voter is None:
            return
        self.voter.fence, self.recovery.query = now + self.pace.fence_ms, None
        if memory is not None:
            for content in documents:
                self.documents.put(content)
            self.recovery.start_voting(now, memory, {})

    # What the shell asks before every decision

    def allowed(self, now: float) -> bool:
        """Tell whether a request may be admitted now, under what is served."""
        return self.serving is not None and now < self.holder.until[self.kind]

    # Turns

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event; the time never goes back."""
        self.outbox.begin_turn(now)
        if isinstance(event, Heard):
            self.on_message(now, event.sender, event.content)
        elif isinstance(event, Propose):
            self.proposals.propose(now, event)
        elif isinstance(event, Abort):
            self.proposals.abort(now, event.digest)
        elif isinstance(event, Settle):
            self.proposals.settle(now)
        elif isinstance(event, Begin):
            self.recovery.ignore_silent_from = now + self.pace.fence_ms  # who is there has answered by then
        elif isinstance(event, Quiet):
            self.outbox.quiet, self.ballot = True, None
        if not self.outbox.quiet:
            self.recovery.recover(now)
            self.proposals.advance(now)
            self.voting.advance(now)
            if self.voter is not None:
                self.leases.clear(now)
            self.leases.renew(now)
            self.decisions.announce(now)
            self.transfer.request(now)
            self.transfer.send_pieces()
        self.leases.serve(now)
        return self.outbox.actions

    def keep(self) -> None:
        """Have the voter's memory written down before anything that follows is said."""
        if self.voter is not None and not self.voter.remembers:
            return  # written down it would pass for all there is to be remembered
        memory = self.voter.memory if self.voter is not None else self.known
        if memory != self.kept and self.certain:
            self.kept = memory
            held = self.documents.held
            self.outbox.actions.append(
                Keep(memory, tuple(held[name] for name in (memory.digest, memory.value) if name in held))
            )

    # Hearing

    def on_message(self, now: float, sender: int, content: bytes) -> None:
        """Take in a message."""
        message = words.decode(content, self.pace.members, len(self.pace.voters))
        if isinstance(message, str):
            self.outbox.actions.append(Dropped(message))
        elif getattr(message, "to", self.life) != self.life:
            self.outbox.actions.append(Dropped("other_life"))
        elif not self.outbox.quiet:
            self.dispatch(now, sender, message)

    def dispatch(self, now: float, sender: int, message: words.AnyMessage) -> None:
        """Give a message to the part that it is for."""
        match message:
            case words.Ask():
                self.leases.on_ask(now, sender, message)
            case words.Grant():
                self.leases.on_grant(now, sender, message)
            case words.Prepare():
                self.voting.on_prepare(now, sender, message)
            case words.Promise():
                self.voting.on_promise(now, sender, message)
            case words.Accept():
                self.voting.on_accept(now, sender, message)
            case words.Accepted():
                self.voting.on_accepted(now, sender, message)
            case words.Nack():
                self.voting.on_nack(now, sender, message)
            case words.Decided():
                self.decisions.on_decided(now, sender, message)
            case words.Older():
                self.decisions.on_older(now, sender, message)
            case words.Check():
                self.proposals.on_check(now, sender, message)
            case words.Opinion():
                self.proposals.on_opinion(now, sender, message)
            case words.Query():
                self.recovery.on_query(now, sender, message)
            case words.State():
                self.recovery.on_state(now, sender, message)
            case words.Want():
                self.transfer.on_want(sender, message)
            case words.Piece():
                self.on_piece(message)

    def on_piece(self, message: words.Piece) -> None:
        """Take a piece of a document in."""
        content = self.documents.piece(message.digest, message.index, message.size, message.data)
        if content is not None:
            self.hold(content)

    # Learning

    def learn(self, now: float, version: int, digest: bytes, source: int) -> None:
        """Take a version for decided; what is served under an earlier one ends in this turn."""
        if not digest or (self.certain and version <= self.known.version):
            return
        self.certain = True
        self.known = Memory(version, digest)
        self.history.add(version, digest)
        if self.voter is not None and self.voter.remembers:
            self.voter.learn(version, digest)
        self.holder.begin()  # with no lease nothing is let in, whatever was served
        self.leases.next_ask = now
        self.decisions.pushed = -math.inf if source == self.number else now  # others tell what who decided it could not
        self.transfer.seek(digest, source)
        if self.ballot is not None and self.ballot.slot <= version:
            self.ballot = None
        self.voting.seen_ballot = 0
        self.keep()
        self.outbox.actions.append(Told(f"version {version} {digest.hex()[:8]} is decided"))

    def promised(self, now: float, ballot: Ballot, voter: int, accepted: int, digest: bytes) -> None:
        """Go on to the vote once a majority has promised."""
        before = ballot.value
        ballot.promised(voter, accepted, digest, self.pace)
        if ballot.value and not before:
            ballot.asked = -math.inf
            if ballot.value not in self.documents.held:
                self.documents.seek(ballot.value, voter)
            for change in self.changes:
                if change.slot == ballot.slot and change.digest == ballot.value:
                    change.voted_on = True

    def voted(self, now: float, ballot: Ballot, voter: int) -> None:
        """Decide with a majority."""
        if ballot.voted(voter, self.pace):
            self.documents.seek(ballot.value, next(iter(sorted(ballot.votes - {self.number})), voter))
            self.learn(now, ballot.slot, ballot.value, self.number)

    def hold(self, content: bytes) -> bytes:
        """Hold a document; those of the last versions and of open changes stay."""
        wanted = {digest for _, digest in self.history.latest(4)} | {self.file, self.known.digest}
        wanted |= {change.digest for change in self.changes if not change.over}
        if self.voter is not None:
            wanted.add(self.voter.memory.value)
        digest = self.documents.put(content, frozenset(wanted))
        if self.voter is not None and self.voter.memory.value == digest:
            self.kept = None  # what was voted on can be written down now
            self.keep()
        return digest

    # Telling

    def owed(self, now: float) -> list[int]:
        """Give the members that are not known to have the decided version, as far as this gateway hears."""
        return self.leases.owed(now)

    def view(self, now: float) -> dict[str, Any]:
        """Give all of it as JSON's values."""
        return view(self, now)
