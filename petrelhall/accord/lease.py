"""What a member holds: a lease counts while a majority of voters has granted it, each from when it was asked."""

from __future__ import annotations

import math

from petrelhall.accord.plan import TimingParameters
from petrelhall.accord.words import EITHER_LEASE, FULL_LEASE

KEPT = 16  # asks whose answers are still taken


class Holder:
    """One member's lease on one version."""

    def __init__(self, pace: TimingParameters) -> None:
        self.pace = pace
        self.nonce = 0
        self.asked: dict[int, float] = {}  # by nonce: when
        self.got: dict[int, dict[int, float]] = {FULL_LEASE: {}, EITHER_LEASE: {}}  # by kind and voter: until when
        self.until: dict[int, float] = {FULL_LEASE: -math.inf, EITHER_LEASE: -math.inf}

    def begin(self) -> None:
        """Hold nothing: another version is asked for."""
        self.asked.clear()
        for kind in (FULL_LEASE, EITHER_LEASE):
            self.got[kind].clear()
            self.until[kind] = -math.inf

    def ask(self, now: float) -> int:
        """Give the number of an ask made now."""
        self.nonce += 1
        self.asked[self.nonce] = now
        while len(self.asked) > KEPT:
            del self.asked[next(iter(self.asked))]
        return self.nonce

    def granted(self, voter: int, nonce: int, kind: int, ms: float) -> bool:
        """Take a grant in; False where it answers nothing that was asked for this version."""
        asked = self.asked.get(nonce)
        if asked is None or voter not in self.pace.voters or kind not in self.got:
            return False
        for known in (
            (FULL_LEASE, EITHER_LEASE) if kind == FULL_LEASE else (EITHER_LEASE,)
        ):  # a full lease is as good as the other
            until = self.got[known]
            until[voter] = max(until.get(voter, -math.inf), asked + min(ms, self.pace.lease_duration_ms))
            ends = sorted(until.values(), reverse=True)
            if len(ends) >= self.pace.majority:
                self.until[known] = ends[self.pace.majority - 1]
        return True
