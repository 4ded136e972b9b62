"""A ballot for the next version, and a change that an operator wants, from its proposal to its known end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from petrelhall.accord.plan import TimingParameters

State = Literal["checking", "deciding", "decided", "in force", "nowhere", "not known"]
ENDS: frozenset[State] = frozenset(("in force", "nowhere"))
MEMBER_BITS, LIFE_BITS = 12, 31  # of a ballot's number, for who began it, in which incarnation


@dataclass(slots=True)
class Ballot:
    """One ballot; its votes count until its time is over, by the clock of whoever began it."""

    slot: int
    number: int
    began: float
    own: bytes  # what is proposed where nothing was accepted before
    promises: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    value: bytes = b""  # proposed, once a majority has promised
    votes: set[int] = field(default_factory=set)
    asked: float = float("-inf")  # when the last message of it went out

    def open(self, now: float, pace: TimingParameters) -> bool:
        """Tell whether its votes still count."""
        return now - self.began <= pace.ballot_ms

    def promised(self, voter: int, accepted: int, digest: bytes, pace: TimingParameters) -> None:
        """Hear a promise; with a majority of them the value is settled: the latest accepted, or our own."""
        self.promises[voter] = accepted, digest
        if not self.value and len(self.promises) >= pace.majority:
            latest, value = max(self.promises.values())
            self.value = value if latest else self.own

    def voted(self, voter: int, pace: TimingParameters) -> bool:
        """Hear a vote; True with the one that makes a majority."""
        before = len(self.votes)
        self.votes.add(voter)
        return len(self.votes) >= pace.majority > before


def ballot_number(after: int, member: int, life: int) -> int:
    """Give the number of a ballot that is later than another, and nobody else's, nor an earlier incarnation's."""
    bits = MEMBER_BITS + LIFE_BITS
    return ((after >> bits) + 1) << bits | member << LIFE_BITS | life & (1 << LIFE_BITS) - 1


@dataclass(slots=True)
class Change:
    """What an operator wants here."""

    digest: bytes
    slot: int
    before: bytes  # digest of the version that it is to replace
    began: float
    state: State = "checking"
    reasons: dict[int, str] = field(default_factory=dict)  # by member, -1 for none of them
    opinions: dict[int, int] = field(default_factory=dict)  # by member: verdict
    holders: dict[int, set[int]] = field(default_factory=dict)  # by voter: who holds a lease of its
    settles: bool = False  # the slot is to be closed, whatever is in it: nothing is checked
    voted_on: bool = False  # a vote on it was asked for, so that others may finish it
    asked: float = float("-inf")
    ended: float = 0.0

    @property
    def over(self) -> bool:
        """Tell whether its end is known for certain."""
        return self.state in ENDS

    def needed(self, pace: TimingParameters) -> set[int] | None:
        """Give the members that may serve now; None until a majority of the voters has told of its leases."""
        if len(self.holders) < pace.majority:
            return None
        return set().union(*self.holders.values())

    def end(self, now: float, state: State, reasons: dict[int, str] | None = None) -> None:
        """Come to an end, or to not knowing it."""
        self.state, self.ended = state, now
        self.reasons |= reasons or {}
