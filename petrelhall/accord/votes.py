"""A voter's promises, accepted values and granted leases. Pure: callers pass in the time.

Two rules ensure that a version is in force everywhere or nowhere:

- A voter grants a lease on a version only once it is **clear** of all earlier versions: every lease that it granted on
  them was given back or has certainly expired. A lease is valid once a majority granted it. So a holder of a lease on a
  version has a majority of voters clear of the previous version, a holder of a lease on that one would also need a
  majority, and the voter in both majorities cannot have done both.
- A voter that accepted a document for the next version grants no lease on the present one. So once a document is
  decided, a majority no longer renews leases on the version that it replaces.
"""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.accord.plan import CLOCK_MARGIN, TimingParameters
from petrelhall.accord.words import EITHER_LEASE, FULL_LEASE, NO_LEASE, Ask


@dataclass(frozen=True, slots=True)
class VoterState:
    """What a voter must not forget: the decided version, and its promise and vote for the next one."""

    version: int = 0
    digest: bytes = b""
    promised: int = 0
    accepted: int = 0  # ballot of the accepted value; 0: none
    value: bytes = b""

    def after_decision(self, version: int, digest: bytes) -> VoterState:
        """Return the state once a version is known to be decided."""
        return VoterState(version, digest) if version > self.version or not self.digest else self


def merge_states(states: list[VoterState]) -> VoterState:
    """Merge the states of several voters: the latest decision, and the latest vote and promise made after it."""
    version = max(state.version for state in states)
    latest = [state for state in states if state.version == version]
    vote = max(latest, key=lambda state: state.accepted)
    return VoterState(
        version,
        next((state.digest for state in latest if state.digest), b""),
        max(state.promised for state in latest),
        vote.accepted,
        vote.value,
    )


class Voter:
    """One voter's persistent state and the leases that it has granted."""

    def __init__(self, pace: TimingParameters, state: VoterState | None, now: float) -> None:
        self.pace, self.has_state, self.state = pace, state is not None, state or VoterState()
        # Until then, leases that an earlier incarnation granted may run and ballots that it voted in may be open.
        self.fence_until = now + pace.fence_ms
        self.grants: dict[tuple[int, int], tuple[int, float]] = {}  # by member and incarnation: version, expiry
        self.waiting_requests: dict[int, Ask] = {}  # by member: lease requests not fully granted, as earlier leases run
        self.accepted_at = now

    def learn(self, version: int, digest: bytes) -> bool:
        """Record that a version is decided; return whether it was new."""
        previous = self.state
        self.state = previous.after_decision(version, digest)
        if self.state is not previous:
            self.waiting_requests.clear()
        return self.state is not previous

    # Votes

    def promise(self, ballot: int) -> bool:
        """Promise to take part in no earlier ballot; return False if a later one was promised already."""
        state = self.state
        if ballot < state.promised:
            return False
        self.state = VoterState(state.version, state.digest, ballot, state.accepted, state.value)
        return True

    def accept(self, now: float, ballot: int, value: bytes) -> bool:
        """Vote for a value; return False if a later ballot was promised already."""
        state = self.state
        if ballot < state.promised:
            return False
        if ballot != state.accepted:
            self.accepted_at = now
        self.state = VoterState(state.version, state.digest, ballot, ballot, value)
        return True

    # Leases

    def grant(self, now: float, member: int, ask: Ask) -> int:
        """Grant the strongest kind of lease that is safe now and return the kind, ``NONE`` if none is.

        A lease on an earlier version that the request gives back is released in any case.
        """
        key = member, ask.incarnation
        held = self.grants.get(key)
        if held is not None and held[0] < ask.version:
            del self.grants[key]
        self.waiting_requests.pop(member, None)
        state = self.state
        if (
            not ask.wants_lease
            or not self.has_state
            or now < self.fence_until
            or ask.version != state.version
            or ask.digest != state.digest
            or state.accepted
        ):
            return NO_LEASE
        earlier = {version for version, until in self.grants.values() if version < state.version and until > now}
        kind = NO_LEASE
        if not earlier:
            kind = FULL_LEASE
        elif ask.holds_previous and self.pace.strictest and earlier == {state.version - 1}:
            kind = EITHER_LEASE
        if kind != FULL_LEASE:
            self.waiting_requests[member] = ask
        if kind != NO_LEASE:
            self.grants[key] = state.version, now + ask.lease_ms * CLOCK_MARGIN
        return kind

    def take_ready_requests(self, now: float) -> list[tuple[int, Ask]]:
        """Remove and return the waiting lease requests once this voter is clear of all earlier versions."""
        if not self.waiting_requests or any(
            version < self.state.version and until > now for version, until in self.grants.values()
        ):
            return []
        ready, self.waiting_requests = list(self.waiting_requests.items()), {}
        return ready

    def members_on_earlier_version(self, now: float) -> set[int]:
        """Return the members that may still serve an earlier version under a lease from this voter."""
        return {
            member
            for (member, _), (version, until) in self.grants.items()
            if version < self.state.version and until > now
        }

    def lease_holders(self, now: float) -> set[int]:
        """Drop expired leases and return the members that hold a lease from this voter."""
        for key in [key for key, (_, until) in self.grants.items() if until <= now]:
            del self.grants[key]
        return {member for member, _ in self.grants}
