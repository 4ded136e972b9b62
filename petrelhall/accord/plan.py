"""The paces of agreement as formulas of the settings. ``docs/design/accord.md`` derives them. Times are milliseconds.

With n members of which k vote, and a share s of the m messages a second that a gateway takes in:

    messages a second       r = s m
    between two asks        p = max(lease / 3, 2 (n + k) / r)     a voter hears n asks in that time and answers them
    where there is no lease p / 2 at most, q = max(100 ms, k / r) where few ask
    a lease                 l = max(lease, 3 p) + hold
    a ballot                b                                     of its votes none counts later, by the asker's clock
    an empty start          f = MARGIN max(l, b)                  in which a process neither votes nor grants
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.01  # by which the rate of a gateway's monotonic clock may be wrong, either way
CLOCK_MARGIN = 1.03  # > (1 + RHO) / (1 - RHO)
ASKS = 3.0  # in the time of a lease
EACH = 10.0  # members, for each so many of which as many messages as one takes in may go out
LEAST_RETRY_MS = 100.0
STEPS_OF_A_BALLOT = 6.0  # ways there and back that its two rounds may take, with messages lost
LEAST_BALLOT_MS = 1500.0


@dataclass(frozen=True, slots=True)
class TimingParameters:
    """What follows from the settings."""

    members: int
    voters: frozenset[int]
    receive_rate_per_s: float
    renewal_interval_ms: float  # between two asks for a lease
    lease_duration_ms: float  # of a lease
    ballot_ms: float
    acquire_interval_ms: float  # between two asks where there is no lease
    retry_ms: float  # between two other messages of one kind to one gateway that has not answered
    strictest: bool  # whether two versions of which either may be in force are served by the stricter of each field

    @property
    def majority(self) -> int:
        """Give the least number of voters that is more than half."""
        return len(self.voters) // 2 + 1

    @property
    def send_rate_per_s(self) -> float:
        """Give the messages a second that may go out: what counts is what each takes in, and many hear of one."""
        return self.receive_rate_per_s * max(1.0, self.members / EACH)

    @property
    def fence_ms(self) -> float:
        """Give the time after a start in which a process does nothing that an earlier one may have promised not to.

        By then all leases that it granted have run out, and no ballot is open in which it voted.
        """
        return CLOCK_MARGIN * max(self.lease_duration_ms, self.ballot_ms)

    @property
    def check_ms(self) -> float:
        """Give the time in which all must have looked at a change: the lease of who is gone has run out by then."""
        return CLOCK_MARGIN * self.lease_duration_ms + 2000.0 + 4000.0 * self.members / self.receive_rate_per_s


def voters_of(members: int, most: int) -> frozenset[int]:
    """Give who votes: all, or so many spread evenly over the numbers."""
    count = min(members, most)
    return frozenset(place * members // count for place in range(count))


def derive_timing(
    members: int,
    most_voters: int,
    messages_per_s: float,
    share: float,
    lease_ms: float,
    hold_ms: float,
    late_ms: float,
    strictest: bool,
) -> TimingParameters:
    """Give the paces for so many members, where a gateway takes in so many messages a second."""
    voters = voters_of(members, most_voters)
    words = max(0.1, share * messages_per_s)
    renewal_interval_ms = max(lease_ms / ASKS, 2000.0 * (members + len(voters)) / words)
    retry_ms = max(LEAST_RETRY_MS, 1000.0 * len(voters) / words)
    ballot_ms = max(LEAST_BALLOT_MS, STEPS_OF_A_BALLOT * late_ms, 6.0 * retry_ms)
    acquire_interval_ms = max(retry_ms, 1000.0 * (members + len(voters)) / words)
    return TimingParameters(
        members,
        voters,
        words,
        renewal_interval_ms,
        max(lease_ms, ASKS * renewal_interval_ms) + hold_ms,
        ballot_ms,
        acquire_interval_ms,
        retry_ms,
        strictest,
    )
