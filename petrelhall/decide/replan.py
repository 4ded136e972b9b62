"""Applies changed plans to customers while they are served. Pure.

A smaller burst cuts a token bucket, a larger one never refills it, and a ceiling that did not exist before starts with
an empty bucket.
"""

from __future__ import annotations

from petrelhall.decide.interface import Plan
from petrelhall.decide.state import GatewayState


def replan(state: GatewayState, before: tuple[Plan, ...], after: tuple[Plan, ...], now: float) -> None:
    """Give every customer the new version of its plan.

    Token buckets are left as of their last use, up to which they were filled under the old plan.
    """
    indexes = {id(plan): index for index, plan in enumerate(before)}
    for customer in state.customers.values():
        index = indexes.get(id(customer.plan))
        if index is None or after[index] == customer.plan:
            continue
        old, plan = customer.plan, after[index]
        customer.plan = plan
        customer.bucket = min(customer.bucket, max(1.0, plan.burst * customer.even_share))
        customer.shared_bucket = min(customer.shared_bucket, plan.burst)
        customer.ceiling_bucket = (
            min(customer.ceiling_bucket, plan.ceiling_burst * customer.even_share) if old.ceiling_rate > 0.0 else 0.0
        )
        customer.overflow = 0.0
        if state.quota_owner is not None:
            customer.owned_quota = state.quota_owner.account(customer, now)
