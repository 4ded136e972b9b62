"""A member's lease on the decided version.

A lease is valid while a majority of voters has granted it; each grant runs from the time of the request it answers.
"""

from __future__ import annotations

import math

from petrelhall.accord.plan import TimingParameters
from petrelhall.accord.words import EITHER_LEASE, FULL_LEASE

MAX_OPEN_REQUESTS = 16  # latest lease requests whose grants are still accepted


class LeaseHolder:
    """One member's lease on one version."""

    def __init__(self, pace: TimingParameters) -> None:
        self.pace = pace
        self.nonce = 0
        self.requested_at: dict[int, float] = {}  # by nonce
        # By lease kind and voter: expiry time.
        self.grants: dict[int, dict[int, float]] = {FULL_LEASE: {}, EITHER_LEASE: {}}
        self.expires_at: dict[int, float] = {FULL_LEASE: -math.inf, EITHER_LEASE: -math.inf}  # by lease kind

    def reset(self) -> None:
        """Drop all grants and open requests, since leases are now requested on another version."""
        self.requested_at.clear()
        for kind in (FULL_LEASE, EITHER_LEASE):
            self.grants[kind].clear()
            self.expires_at[kind] = -math.inf

    def new_request(self, now: float) -> int:
        """Register a lease request made now and return its nonce."""
        self.nonce += 1
        self.requested_at[self.nonce] = now
        while len(self.requested_at) > MAX_OPEN_REQUESTS:
            del self.requested_at[next(iter(self.requested_at))]
        return self.nonce

    def add_grant(self, voter: int, nonce: int, kind: int, ms: float) -> bool:
        """Record a voter's grant; return False if it answers no open request for this version."""
        requested_at = self.requested_at.get(nonce)
        if requested_at is None or voter not in self.pace.voters or kind not in self.grants:
            return False
        for covered in (
            (FULL_LEASE, EITHER_LEASE) if kind == FULL_LEASE else (EITHER_LEASE,)
        ):  # a full lease includes the weaker kind
            expiries = self.grants[covered]
            expiries[voter] = max(expiries.get(voter, -math.inf), requested_at + min(ms, self.pace.lease_duration_ms))
            latest_first = sorted(expiries.values(), reverse=True)
            if len(latest_first) >= self.pace.majority:
                self.expires_at[covered] = latest_first[self.pace.majority - 1]
        return True
