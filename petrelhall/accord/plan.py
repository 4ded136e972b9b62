"""Timing parameters of the consensus, derived from the settings. ``docs/design/accord.md`` derives the formulas.

Times are milliseconds. With n members of which k are voters, and a share s of the m messages a second that a gateway
can receive:

    receive rate              r = s m                           in messages a second
    renewal interval          p = max(lease / 3, 2 (n + k) / r) a voter receives and answers n asks in that time
    acquire interval          p / 2 at most                     between two asks while no lease is held;
                              q = max(100 ms, k / r)            while only few members ask
    lease duration            l = max(lease, 3 p) + hold
    ballot duration           b                                 votes after it do not count, by the proposer's clock
    fence after a cold start  f = CLOCK_MARGIN max(l, b)        a process without state neither votes nor grants in it
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.01  # largest error of the rate of a gateway's monotonic clock, in either direction
CLOCK_MARGIN = 1.03  # > (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
RENEWALS_PER_LEASE = 3.0
MEMBERS_PER_SEND_SHARE = 10.0  # for every so many members, the receive rate of one gateway may be sent
MIN_RETRY_MS = 100.0
TRIPS_PER_BALLOT = 6.0  # message delays that the two rounds of a ballot may take, lost messages included
MIN_BALLOT_MS = 1500.0


@dataclass(frozen=True, slots=True)
class TimingParameters:
    """The timing parameters that follow from the settings."""

    members: int
    voters: frozenset[int]
    receive_rate_per_s: float
    renewal_interval_ms: float  # between two asks for a lease
    lease_duration_ms: float
    ballot_ms: float
    acquire_interval_ms: float  # between two asks while no lease is held
    retry_ms: float  # between two other messages of one kind to a gateway that has not answered
    strictest: bool  # whether, if either of two versions may be in force, the stricter value of each field is served

    @property
    def majority(self) -> int:
        """Return the least number of voters that is more than half."""
        return len(self.voters) // 2 + 1

    @property
    def send_rate_per_s(self) -> float:
        """Return the messages a second that may be sent.

        The receive rate of each gateway is the limit, and what one gateway sends is spread over many receivers.
        """
        return self.receive_rate_per_s * max(1.0, self.members / MEMBERS_PER_SEND_SHARE)

    @property
    def fence_ms(self) -> float:
        """Return the time after a start in which a process does nothing that its predecessor may have ruled out.

        After it, all leases that the predecessor granted have expired, and no ballot in which it voted is open.
        """
        return CLOCK_MARGIN * max(self.lease_duration_ms, self.ballot_ms)

    @property
    def check_ms(self) -> float:
        """Return the time in which all members must check a change; a dead member's lease has expired by then."""
        return CLOCK_MARGIN * self.lease_duration_ms + 2000.0 + 4000.0 * self.members / self.receive_rate_per_s


def voters_of(members: int, max_voters: int) -> frozenset[int]:
    """Return the voters: all members, or ``max_voters`` of them spread evenly over the member numbers."""
    count = min(members, max_voters)
    return frozenset(place * members // count for place in range(count))


def derive_timing(
    members: int,
    max_voters: int,
    messages_per_s: float,
    share: float,
    lease_ms: float,
    hold_ms: float,
    late_ms: float,
    strictest: bool,
) -> TimingParameters:
    """Derive the timing for a number of members that can each receive so many messages a second."""
    voters = voters_of(members, max_voters)
    receive_rate = max(0.1, share * messages_per_s)
    renewal_interval_ms = max(lease_ms / RENEWALS_PER_LEASE, 2000.0 * (members + len(voters)) / receive_rate)
    retry_ms = max(MIN_RETRY_MS, 1000.0 * len(voters) / receive_rate)
    ballot_ms = max(MIN_BALLOT_MS, TRIPS_PER_BALLOT * late_ms, 6.0 * retry_ms)
    acquire_interval_ms = max(retry_ms, 1000.0 * (members + len(voters)) / receive_rate)
    return TimingParameters(
        members,
        voters,
        receive_rate,
        renewal_interval_ms,
        max(lease_ms, RENEWALS_PER_LEASE * renewal_interval_ms) + hold_ms,
        ballot_ms,
        acquire_interval_ms,
        retry_ms,
        strictest,
    )
