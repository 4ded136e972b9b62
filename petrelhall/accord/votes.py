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

from petrelhall.accord.plan import CLOCK_MARGIN, TimingParameters
from petrelhall.accord.words import EITHER_LEASE, FULL_LEASE, NO_LEASE, Ask


@dataclass(frozen=True, slots=True)
class Memory:
    """What a voter must not forget: decided version, and votes in the ballots for the next."""

    version: int = 0
    digest: bytes = b""
    promised: int = 0
    accepted: int = 0  # ballot; 0: nothing
    value: bytes = b""

    def after(self, version: int, digest: bytes) -> Memory:
        """Give what is to be remembered once a version is known to be decided."""
        return Memory(version, digest) if version > self.version or not self.digest else self


def best(memories: list[Memory]) -> Memory:
    """Give the memory that stands for several: the latest decision, with the latest of its votes."""
    version = max(memory.version for memory in memories)
    same = [memory for memory in memories if memory.version == version]
    vote = max(same, key=lambda memory: memory.accepted)
    return Memory(
        version,
        next((memory.digest for memory in same if memory.digest), b""),
        max(memory.promised for memory in same),
        vote.accepted,
        vote.value,
    )


class Voter:
    """One voter's memory and grants."""

    def __init__(self, pace: TimingParameters, memory: Memory | None, now: float) -> None:
        self.pace, self.remembers, self.memory = pace, memory is not None, memory or Memory()
        self.fence = now + pace.fence_ms  # before, an earlier incarnation's grants may hold and its ballots be open
        self.grants: dict[tuple[int, int], tuple[int, float]] = {}  # by member and incarnation: version, until when
        self.waiting: dict[int, Ask] = {}  # by member: asks that found this voter not clear
        self.accepted_at = now

    def learn(self, version: int, digest: bytes) -> bool:
        """Take a version for decided; True where it is news."""
        before = self.memory
        self.memory = before.after(version, digest)
        if self.memory is not before:
            self.waiting.clear()
        return self.memory is not before

    # Votes

    def promise(self, ballot: int) -> bool:
        """Promise to take part in no earlier ballot, where no later one was promised."""
        memory = self.memory
        if ballot < memory.promised:
            return False
        self.memory = Memory(memory.version, memory.digest, ballot, memory.accepted, memory.value)
        return True

    def accept(self, now: float, ballot: int, value: bytes) -> bool:
        """Vote, where no later ballot was promised."""
        memory = self.memory
        if ballot < memory.promised:
            return False
        if ballot != memory.accepted:
            self.accepted_at = now
        self.memory = Memory(memory.version, memory.digest, ballot, ballot, value)
        return True

    # Leases

    def grant(self, now: float, member: int, ask: Ask) -> int:
        """Grant a lease, of the kind that is safe now; what the member gives back is given back all the same."""
        key = member, ask.incarnation
        held = self.grants.get(key)
        if held is not None and held[0] < ask.version:
            del self.grants[key]
        self.waiting.pop(member, None)
        memory = self.memory
        if (
            not ask.wants_lease
            or not self.remembers
            or now < self.fence
            or ask.version != memory.version
            or ask.digest != memory.digest
            or memory.accepted
        ):
            return NO_LEASE
        earlier = {version for version, until in self.grants.values() if version < memory.version and until > now}
        kind = NO_LEASE
        if not earlier:
            kind = FULL_LEASE
        elif ask.holds_previous and self.pace.strictest and earlier == {memory.version - 1}:
            kind = EITHER_LEASE
        if kind != FULL_LEASE:
            self.waiting[member] = ask
        if kind != NO_LEASE:
            self.grants[key] = memory.version, now + ask.lease_ms * CLOCK_MARGIN
        return kind

    def cleared(self, now: float) -> list[tuple[int, Ask]]:
        """Give the asks that waited, once this voter is clear of all earlier versions."""
        if not self.waiting or any(
            version < self.memory.version and until > now for version, until in self.grants.values()
        ):
            return []
        found, self.waiting = list(self.waiting.items()), {}
        return found

    def earlier(self, now: float) -> set[int]:
        """Give the members that may still serve by an earlier version, as far as this voter's grants go."""
        return {
            member
            for (member, _), (version, until) in self.grants.items()
            if version < self.memory.version and until > now
        }

    def holders(self, now: float) -> set[int]:
        """Give the members that hold a lease of this voter's; those that have run out are forgotten."""
        for key in [key for key, (_, until) in self.grants.items() if until <= now]:
            del self.grants[key]
        return {member for member, _ in self.grants}
