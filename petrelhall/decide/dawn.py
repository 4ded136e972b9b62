"""Detects that all gateways started together, so that no quota had been used before. It does no input or output.

A gateway that starts cannot tell a common start from its own restart: after a restart the others have drawn on the
token buckets, and only an even share of each is safe to assume. So in its first seconds each gateway reports its age
with its messages. One that has received the ages of all others, and finds them equal to its own, knows that every
bucket was full when it started, and that all use since then was reported to it.
"""

from __future__ import annotations

from petrelhall.decide.gossip import AGE_CODE
from petrelhall.decide.state import Customer

REPORT_AGE_MS = 5000.0  # time after the start during which a gateway reports its age
SAME_START_MS = 1000.0  # gateways whose ages differ by no more than this started together


class InitialFill:
    """Decides from the ages received from the other gateways whether all started together."""

    def __init__(self, other_gateways: int) -> None:
        self.other_gateways, self.same_age_peers = other_gateways, set[int]()
        self.confirmed = False  # whether all gateways are known to have started together

    def age_entry(self, age_ms: float) -> dict[int, float]:
        """Return the message entry that reports this gateway's age; empty once it is too old."""
        return {AGE_CODE: age_ms / 1000.0} if 0.0 < age_ms < REPORT_AGE_MS and self.other_gateways else {}

    def receive(self, sender: int, age_s: float, own_age_ms: float) -> bool:
        """Record a peer's age; return True at the moment when the common start becomes certain."""
        if self.confirmed or own_age_ms >= REPORT_AGE_MS:
            return False
        if abs(1000.0 * age_s - own_age_ms) <= SAME_START_MS:
            self.same_age_peers.add(sender)
        else:
            self.same_age_peers.clear()
            self.other_gateways = 0  # a single older or younger gateway rules out a common start
        self.confirmed = 0 < self.other_gateways <= len(self.same_age_peers)
        return self.confirmed


def add_missing_fill(customer: Customer) -> None:
    """Add to a customer's token buckets what they lacked while a common start was not certain."""
    plan = customer.plan
    if customer.owned_quota is not None:
        customer.owned_quota.fill(customer.refilled_at)
    customer.shared_bucket = min(plan.burst, customer.shared_bucket + plan.burst * (1.0 - customer.even_share))
