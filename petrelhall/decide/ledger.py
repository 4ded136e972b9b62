"""The store of a quota on the shared counter: what a total means, and what keeps it right. Pure."""

from __future__ import annotations

from petrelhall.decide.state import Customer

COUNTER_NAME_TTL_MS = 20000.0  # ms that a name counts for
SHARE_GAIN, PUT_RIGHT = 0.2, 0.25  # weight of a verdict; share of a burst that is worth a call


def verdict(
    customer: Customer, asked: float, amount: float, told: float, units: float, total: float
) -> tuple[bool, float]:
    """Let the store on the counter decide on a try, and give what must be added to keep it right.

    ``asked`` is when the call went out (ms), ``amount`` what it added, ``told`` the part of it that this try is.
    Refused units are given back, a store above a burst loses the rest, a new name's first call carries over what
    the last lacked: an emptied counter brings one burst and no more.
    """
    plan, filled = customer.plan, customer.max_level(asked)
    level = plan.burst + plan.rate * (asked % COUNTER_NAME_TTL_MS) / 1000.0 - total
    put_right = max(0.0, level + amount - plan.burst)
    if total <= amount and customer.counter_level_at < asked - asked % COUNTER_NAME_TTL_MS:
        put_right += max(0.0, plan.burst - filled)
    elif put_right < PUT_RIGHT * plan.burst:
        put_right = 0.0
    within = level - put_right + told - units >= -1e-6
    customer.admit_share += SHARE_GAIN * (within - customer.admit_share)
    put_right -= 0.0 if within else told
    customer.counter_level, customer.counter_level_at = level - put_right, asked
    return within, put_right
