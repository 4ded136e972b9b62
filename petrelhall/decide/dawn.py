"""Whether all gateways began together, so that nobody had used anything before. Pure.

A gateway that starts cannot tell a new day from its own restart: after a restart the others have drawn on the
stores, and only an even slice of each is safe. So for its first seconds each tells its age with its messages.
Who has heard all others, and finds them as old as itself, knows that every store was full when it began, and that
all that was used since was told to it.
"""

from __future__ import annotations

from petrelhall.decide.gossip import AGE_CODE
from petrelhall.decide.state import Customer

REPORT_AGE_MS, SAME_START_MS = 5000.0, 1000.0  # for which an age is told; ages this close began together


class InitialFill:
    """The ages that were heard."""

    def __init__(self, others: int) -> None:
        self.others, self.same_age = others, set[int]()
        self.confirmed = False  # that all began together

    def age_entry(self, age_ms: float) -> dict[int, float]:
        """Give what is told of our own age."""
        return {AGE_CODE: age_ms / 1000.0} if 0.0 < age_ms < REPORT_AGE_MS and self.others else {}

    def receive(self, sender: int, age_s: float, own_ms: float) -> bool:
        """Hear a peer's age; True at the moment from which it is known that all began together."""
        if self.confirmed or own_ms >= REPORT_AGE_MS:
            return False
        if abs(1000.0 * age_s - own_ms) <= SAME_START_MS:
            self.same_age.add(sender)
        else:
            self.same_age.clear()
            self.others = 0  # one that is older, or not as old, settles it: this is no new day
        self.confirmed = 0 < self.others <= len(self.same_age)
        return self.confirmed


def fill(customer: Customer) -> None:
    """Put into a store what was left out of it for as long as this was not known."""
    plan = customer.plan
    if customer.owned_quota is not None:
        customer.owned_quota.fill(customer.filled_at)
    customer.shared_bucket = min(plan.burst, customer.shared_bucket + plan.burst * (1.0 - customer.even))
