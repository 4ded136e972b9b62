"""What a member holds: a lease counts while a majority of voters has granted it, each from when it was asked."""

from __future__ import annotations

import math

from petrelhall.accord.plan import Pace
from petrelhall.accord.words import EITHER, FULL

KEPT = 16  # asks whose answers are still taken


class LeaseHolder:
    """One member's lease on one version."""

    def __init__(self, pace: Pace) -> None:
        self.pace = pace
        self.nonce = 0
        self.asked: dict[int, float] = {}  # by nonce: when
        self.got: dict[int, dict[int, float]] = {FULL: {}, EITHER: {}}  # by kind and voter: until when
        self.expires_at: dict[int, float] = {FULL: -math.inf, EITHER: -math.inf}

    def reset(self) -> None:
        """Hold nothing: another version is asked for."""
        self.asked.clear()
        for kind in (FULL, EITHER):
            self.got[kind].clear()
            self.expires_at[kind] = -math.inf

    def new_request(self, now: float) -> int:
        """Give the number of an ask made now."""
        self.nonce += 1
        self.asked[self.nonce] = now
        while len(self.asked) > KEPT:
            del self.asked[next(iter(self.asked))]
        return self.nonce

    def add_grant(self, voter: int, nonce: int, kind: int, ms: float) -> bool:
        """Take a grant in; False where it answers nothing that was asked for this version."""
        asked = self.asked.get(nonce)
        if asked is None or voter not in self.pace.voters or kind not in self.got:
            return False
        for known in (FULL, EITHER) if kind == FULL else (EITHER,):  # a full lease is as good as the other
            until = self.got[known]
            until[voter] = max(until.get(voter, -math.inf), asked + min(ms, self.pace.life_ms))
            ends = sorted(until.values(), reverse=True)
            if len(ends) >= self.pace.majority:
                self.expires_at[known] = ends[self.pace.majority - 1]
        return True
