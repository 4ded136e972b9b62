"""Consensus core: takes events and the current time, returns actions. Pure.

``docs/design/accord.md`` has the correctness argument.

The policy in force is the last in a sequence of decided documents, one for each version. Each version is decided by
the voters with single-decree Paxos. A gateway serves a version only while it holds a lease on it from a majority of
the voters, which ensure that no two versions are leased at once (``votes``). A process that starts without stored state
does not know its earlier promises: it neither votes nor grants until every lease and ballot that its earlier
incarnation took part in has expired, and then recovers its state from a majority before it votes.
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
from petrelhall.accord.events import (
    Abort,
    Action,
    DeclareVotersLost,
    Event,
    Notice,
    PersistState,
    Propose,
    Serve,
    SettleSlot,
)
from petrelhall.accord.history import History
from petrelhall.accord.lease import LeaseHolder
from petrelhall.accord.leases import Leases
from petrelhall.accord.outbox import Outbox
from petrelhall.accord.plan import TimingParameters
from petrelhall.accord.proposals import Proposals
from petrelhall.accord.recovery import Recovery
from petrelhall.accord.transfer import Transfer
from petrelhall.accord.view import view
from petrelhall.accord.votes import Voter, VoterState
from petrelhall.accord.voting import Voting
from petrelhall.accord.words import FULL_LEASE
from petrelhall.events import Dropped, MessageReceived, Send, Superseded, Tick

__all__ = [
    "Abort",
    "ConsensusCore",
    "Action",
    "DeclareVotersLost",
    "Dropped",
    "Event",
    "MessageReceived",
    "PersistState",
    "Propose",
    "Superseded",
    "Send",
    "Serve",
    "SettleSlot",
    "Tick",
    "Notice",
]


class ConsensusCore:
    """One gateway's consensus state, and the components that act on it.

    ``document`` is the policy from the local file; ``check`` returns why a document cannot be served, or "".
    ``stored_state`` and ``documents`` are what an earlier process stored, if anything was stored.
    """

    def __init__(
        self,
        number: int,
        incarnation: int,
        pace: TimingParameters,
        document: bytes,
        check: Callable[[bytes], str],
        seed: int,
        now: float,
        stored_state: VoterState | None = None,
        documents: tuple[bytes, ...] = (),
    ) -> None:
        self.number, self.incarnation, self.pace = number, incarnation, pace
        self.random = random.Random(seed)
        self.documents = Documents()
        for content in documents:
            self.documents.put(content)
        # Digest of the policy from the local file: version 0, unless some voter knows of a later decision.
        self.file_digest = self.documents.put(document)
        self.voter = Voter(pace, stored_state, now) if number in pace.voters else None
        self.holder = LeaseHolder(pace)
        self.last_decision = stored_state or VoterState()  # latest known decision; valid only with has_decision
        self.has_decision = stored_state is not None
        self.history = History()
        self.serving: tuple[int, bytes, bytes | None] | None = None
        self.lease_kind = FULL_LEASE
        self.ballot: Ballot | None = None
        self.may_vote = True  # cleared by the caller while it cannot persist votes
        self.persisted: VoterState | None = stored_state
        self.not_serving_reason = ""  # shown to operators
        self.outbox = Outbox(number, pace, now)
        self.checks = Checks(check, self.documents)
        self.transfer = Transfer(incarnation, pace, self.documents, self.outbox, self.random)
        self.decisions = Decisions(self)
        self.recovery = Recovery(self)
        self.leases = Leases(self, now)
        self.proposals = Proposals(self)
        self.voting = Voting(self)
        self.changes = self.proposals.changes
        if stored_state is not None:
            self.history.add(stored_state.version, stored_state.digest)

    def take_over(self, now: float, stored_state: VoterState | None, documents: tuple[bytes, ...]) -> None:
        """Start voting in place of an earlier process of this member, which no longer votes or grants leases.

        Leases that it granted may still run, so the fence starts again. The state that it persisted includes all of
        its votes.
        """
        self.may_vote = True
        if self.voter is None:
            return
        self.voter.fence_until, self.recovery.query = now + self.pace.fence_ms, None
        if stored_state is not None:
            for content in documents:
                self.documents.put(content)
            self.recovery.start_voting(now, stored_state, {})

    # Called before each admission decision

    def can_admit(self, now: float) -> bool:
        """Return whether a request may be admitted now under the served version."""
        return self.serving is not None and now < self.holder.expires_at[self.lease_kind]

    # Events

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions, in order; ``now`` must never decrease."""
        self.outbox.begin_turn(now)
        if isinstance(event, MessageReceived):
            self.on_message(now, event.sender, event.content)
        elif isinstance(event, Propose):
            self.proposals.propose(now, event)
        elif isinstance(event, Abort):
            self.proposals.abort(now, event.digest)
        elif isinstance(event, SettleSlot):
            self.proposals.settle(now)
        elif isinstance(event, DeclareVotersLost):
            self.recovery.ignore_silent_from = now + self.pace.fence_ms  # live voters have answered by then
        elif isinstance(event, Superseded):
            self.outbox.superseded, self.ballot = True, None
        if not self.outbox.superseded:
            self.recovery.recover(now)
            self.proposals.advance(now)
            self.voting.advance(now)
            if self.voter is not None:
                self.leases.grant_waiting(now)
            self.leases.renew(now)
            self.decisions.announce(now)
            self.transfer.request_missing(now)
            self.transfer.send_pieces()
        self.leases.serve(now)
        return self.outbox.actions

    def persist(self) -> None:
        """Request that the state be persisted before any later message of this turn is sent, if it has changed."""
        if self.voter is not None and not self.voter.has_state:
            return  # a later process would take the incomplete state for everything that this voter has voted
        state = self.voter.state if self.voter is not None else self.last_decision
        if state != self.persisted and self.has_decision:
            self.persisted = state
            held = self.documents.held
            self.outbox.actions.append(
                PersistState(state, tuple(held[digest] for digest in (state.digest, state.value) if digest in held))
            )

    # Messages

    def on_message(self, now: float, sender: int, content: bytes) -> None:
        """Decode a message and dispatch it; drop it if it is invalid or answers another incarnation."""
        message = words.decode(content, self.pace.members, len(self.pace.voters))
        if isinstance(message, str):
            self.outbox.actions.append(Dropped(message))
        elif getattr(message, "to", self.incarnation) != self.incarnation:
            self.outbox.actions.append(Dropped("other_life"))
        elif not self.outbox.superseded:
            self.dispatch(now, sender, message)

    def dispatch(self, now: float, sender: int, message: words.AnyMessage) -> None:
        """Pass a message to the component that handles its type."""
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
        """Add a piece of a document; store the document once it is complete."""
        content = self.documents.piece(message.digest, message.index, message.size, message.data)
        if content is not None:
            self.store_document(content)

    # Decisions

    def learn(self, now: float, version: int, digest: bytes, source: int) -> None:
        """Record that a version is decided; an earlier version stops being served in this turn."""
        if not digest or (self.has_decision and version <= self.last_decision.version):
            return
        self.has_decision = True
        self.last_decision = VoterState(version, digest)
        self.history.add(version, digest)
        if self.voter is not None and self.voter.has_state:
            self.voter.learn(version, digest)
        self.holder.reset()  # without a lease nothing is admitted, whatever version was served
        self.leases.next_request_at = now
        # The gateway that decided announces at once; others repeat it later, for members that it could not reach.
        self.decisions.announced_at = -math.inf if source == self.number else now
        self.transfer.fetch(digest, source)
        if self.ballot is not None and self.ballot.slot <= version:
            self.ballot = None
        self.voting.highest_ballot_seen = 0
        self.persist()
        self.outbox.actions.append(Notice(f"version {version} {digest.hex()[:8]} is decided"))

    def record_promise(self, now: float, ballot: Ballot, voter: int, accepted: int, digest: bytes) -> None:
        """Record a promise; once a majority has promised, start the accept phase."""
        value_before = ballot.value
        ballot.add_promise(voter, accepted, digest, self.pace)
        if ballot.value and not value_before:
            ballot.last_sent_at = -math.inf
            if ballot.value not in self.documents.held:
                self.documents.seek(ballot.value, voter)
            for change in self.changes:
                if change.slot == ballot.slot and change.digest == ballot.value:
                    change.voted_on = True

    def record_vote(self, now: float, ballot: Ballot, voter: int) -> None:
        """Record a vote; once a majority has voted, the value is decided."""
        if ballot.add_vote(voter, self.pace):
            self.documents.seek(ballot.value, next(iter(sorted(ballot.votes - {self.number})), voter))
            self.learn(now, ballot.slot, ballot.value, self.number)

    def store_document(self, content: bytes) -> bytes:
        """Store a document; those of the latest versions and of open changes are not evicted."""
        retained = {digest for _, digest in self.history.latest(4)} | {self.file_digest, self.last_decision.digest}
        retained |= {change.digest for change in self.changes if not change.finished}
        if self.voter is not None:
            retained.add(self.voter.state.value)
        digest = self.documents.put(content, frozenset(retained))
        if self.voter is not None and self.voter.state.value == digest:
            self.persisted = None  # the document voted on can be persisted now
            self.persist()
        return digest

    # Status

    def members_behind(self, now: float) -> list[int]:
        """Return the members not known to have the decided version, judging by what this gateway has received."""
        return self.leases.members_behind(now)

    def view(self, now: float) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return view(self, now)
