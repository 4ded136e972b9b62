"""A ballot for the next version, and an operator's change from its proposal to its known outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from petrelhall.accord.plan import TimingParameters

ChangeState = Literal["checking", "deciding", "decided", "in force", "nowhere", "not known"]
FINAL_STATES: frozenset[ChangeState] = frozenset(("in force", "nowhere"))
# The low bits of a ballot number identify the proposer and its incarnation.
MEMBER_BITS = 12
INCARNATION_BITS = 31


@dataclass(slots=True)
class Ballot:
    """One ballot; its votes count until it times out by the proposer's clock."""

    slot: int
    number: int
    started_at: float
    own_value: bytes  # digest proposed if the promises report no accepted value
    promises: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # by voter: accepted ballot and its value
    value: bytes = b""  # digest to vote on, set once a majority has promised
    votes: set[int] = field(default_factory=set)
    last_sent_at: float = float("-inf")  # when its messages were last sent

    def is_open(self, now: float, pace: TimingParameters) -> bool:
        """Return whether votes for this ballot still count."""
        return now - self.started_at <= pace.ballot_ms

    def add_promise(self, voter: int, accepted: int, digest: bytes, pace: TimingParameters) -> None:
        """Record a promise; a majority of them fixes the value: the one accepted latest, or else our own."""
        self.promises[voter] = accepted, digest
        if not self.value and len(self.promises) >= pace.majority:
            latest, value = max(self.promises.values())
            self.value = value if latest else self.own_value

    def add_vote(self, voter: int, pace: TimingParameters) -> bool:
        """Record a vote; return True for the one that completes a majority."""
        count_before = len(self.votes)
        self.votes.add(voter)
        return len(self.votes) >= pace.majority > count_before


def ballot_number(after: int, member: int, incarnation: int) -> int:
    """Return a ballot number later than ``after``, unique to this member and incarnation."""
    bits = MEMBER_BITS + INCARNATION_BITS
    return ((after >> bits) + 1) << bits | member << INCARNATION_BITS | incarnation & (1 << INCARNATION_BITS) - 1


@dataclass(slots=True)
class Change:
    """A change that an operator proposed at this gateway."""

    digest: bytes
    slot: int
    previous_digest: bytes  # of the version to be replaced
    started_at: float
    state: ChangeState = "checking"
    reasons: dict[int, str] = field(default_factory=dict)  # by member; -1: not attributed to one
    opinions: dict[int, int] = field(default_factory=dict)  # by member: verdict
    holders: dict[int, set[int]] = field(default_factory=dict)  # by voter: members holding a lease it granted
    settles: bool = False  # only closes the slot, whatever value it gets; no document is checked
    voted_on: bool = False  # votes were requested, so another member may complete the decision
    last_sent_at: float = float("-inf")  # when opinions were last requested
    ended_at: float = 0.0

    @property
    def finished(self) -> bool:
        """Return whether the outcome is known for certain."""
        return self.state in FINAL_STATES

    def required_members(self, pace: TimingParameters) -> set[int] | None:
        """Return the members that may be serving now; None until a majority of voters has reported its leases."""
        if len(self.holders) < pace.majority:
            return None
        return set().union(*self.holders.values())

    def end(self, now: float, state: ChangeState, reasons: dict[int, str] | None = None) -> None:
        """Record how the change ended, which may be that its outcome is not known."""
        self.state, self.ended_at = state, now
        self.reasons |= reasons or {}
