"""A voter: what it has promised and accepted, and the leases that it has granted. Times are handed in.

Two rules make "everywhere or nowhere":

- a lease on a version is granted only by a voter that is **clear** of all earlier ones: every lease on them that it
  granted was given back, or has surely run out. A lease counts where a majority granted it. So whoever serves a
  version has a majority that is clear of the one before; and whoever would still serve that one has a majority of
  grants too: the two meet in a voter that cannot have done both;
- who has accepted a document for the next version grants nothing on the present one any more. So once a document is
  decided, a majority no longer renews what it replaces.
"""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.accord.plan import MARGIN, Pace
from petrelhall.accord.words import EITHER, FULL, NONE, Ask


@dataclass(frozen=True, slots=True)
class VoterState:
    """What a voter must not forget: decided version, and votes in the ballots for the next."""

    version: int = 0
    digest: bytes = b""
    promised: int = 0
    accepted: int = 0  # ballot; 0: nothing
    value: bytes = b""

    def after(self, version: int, digest: bytes) -> VoterState:
        """Give what is to be remembered once a version is known to be decided."""
        return VoterState(version, digest) if version > self.version or not self.digest else self


def merge_states(memories: list[VoterState]) -> VoterState:
    """Give the memory that stands for several: the latest decision, with the latest of its votes."""
    version = max(memory.version for memory in memories)
    same = [memory for memory in memories if memory.version == version]
    vote = max(same, key=lambda memory: memory.accepted)
    return VoterState(
        version,
        next((memory.digest for memory in same if memory.digest), b""),
        max(memory.promised for memory in same),
        vote.accepted,
        vote.value,
    )


class Voter:
    """One voter's memory and grants."""

    def __init__(self, pace: Pace, memory: VoterState | None, now: float) -> None:
        self.pace, self.has_state, self.state = pace, memory is not None, memory or VoterState()
        self.fence_until = (
            now + pace.fence_ms
        )  # before, an earlier incarnation's grants may hold and its ballots be open
        self.grants: dict[tuple[int, int], tuple[int, float]] = {}  # by member and incarnation: version, until when
        self.waiting_requests: dict[int, Ask] = {}  # by member: asks that found this voter not clear
        self.accepted_at = now

    def learn(self, version: int, digest: bytes) -> bool:
        """Take a version for decided; True where it is news."""
        before = self.state
        self.state = before.after(version, digest)
        if self.state is not before:
            self.waiting_requests.clear()
        return self.state is not before

    # Votes

    def promise(self, ballot: int) -> bool:
        """Promise to take part in no earlier ballot, where no later one was promised."""
        memory = self.state
        if ballot < memory.promised:
            return False
        self.state = VoterState(memory.version, memory.digest, ballot, memory.accepted, memory.value)
        return True

    def accept(self, now: float, ballot: int, value: bytes) -> bool:
        """Vote, where no later ballot was promised."""
        memory = self.state
        if ballot < memory.promised:
            return False
        if ballot != memory.accepted:
            self.accepted_at = now
        self.state = VoterState(memory.version, memory.digest, ballot, ballot, value)
        return True

    # Leases

    def grant(self, now: float, member: int, ask: Ask) -> int:
        """Grant a lease, of the kind that is safe now; what the member gives back is given back all the same."""
        key = member, ask.life
        held = self.grants.get(key)
        if held is not None and held[0] < ask.version:
            del self.grants[key]
        self.waiting_requests.pop(member, None)
        memory = self.state
        if (
            not ask.wants
            or not self.has_state
            or now < self.fence_until
            or ask.version != memory.version
            or ask.digest != memory.digest
            or memory.accepted
        ):
            return NONE
        earlier = {version for version, until in self.grants.values() if version < memory.version and until > now}
        kind = NONE
        if not earlier:
            kind = FULL
        elif ask.either and self.pace.strictest and earlier == {memory.version - 1}:
            kind = EITHER
        if kind != FULL:
            self.waiting_requests[member] = ask
        if kind != NONE:
            self.grants[key] = memory.version, now + ask.ms * MARGIN
        return kind

    def take_ready_requests(self, now: float) -> list[tuple[int, Ask]]:
        """Give the asks that waited, once this voter is clear of all earlier versions."""
        if not self.waiting_requests or any(
            version < self.state.version and until > now for version, until in self.grants.values()
        ):
            return []
        found, self.waiting_requests = list(self.waiting_requests.items()), {}
        return found

    def members_on_earlier_version(self, now: float) -> set[int]:
        """Give the members that may still serve by an earlier version, as far as this voter's grants go."""
        return {
            member
            for (member, _), (version, until) in self.grants.items()
            if version < self.state.version and until > now
        }

    def lease_holders(self, now: float) -> set[int]:
        """Give the members that hold a lease of this voter's; those that have run out are forgotten."""
        for key in [key for key, (_, until) in self.grants.items() if until <= now]:
            del self.grants[key]
        return {member for member, _ in self.grants}
