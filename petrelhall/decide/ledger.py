"""A customer's token bucket kept as a total on the shared counter. This module does no input or output."""

from __future__ import annotations

from petrelhall.decide.state import Customer

COUNTER_NAME_TTL_MS = 20000.0  # time for which one name on the counter is used
SHARE_EWMA_WEIGHT = 0.2  # weight of one decision in the moving average of the demand that the quota covers
MIN_CORRECTION_BURST_SHARE = 0.25  # a correction below this share of the burst is not worth a call to the counter


def evaluate_total(
    customer: Customer, called_at: float, amount: float, own_amount: float, units: float, total: float
) -> tuple[bool, float]:
    """Decide whether the bucket covers a request, and return what must be added to the total to correct it.

    ``called_at`` is when the call was sent (ms), ``amount`` is what it added, and ``own_amount`` is the part of that
    which stands for this request; ``total`` is the counter's answer. Three corrections keep the total right: the units
    of a refused request are returned, a level above the burst loses the excess, and the first call for a new name
    carries over what was missing under the last one. A counter that lost its totals so grants one burst and no more.
    """
    plan, previous_level = customer.plan, customer.max_level(called_at)
    level = plan.burst + plan.rate * (called_at % COUNTER_NAME_TTL_MS) / 1000.0 - total
    correction = max(0.0, level + amount - plan.burst)
    if total <= amount and customer.counter_level_at < called_at - called_at % COUNTER_NAME_TTL_MS:
        correction += max(0.0, plan.burst - previous_level)
    elif correction < MIN_CORRECTION_BURST_SHARE * plan.burst:
        correction = 0.0
    within = level - correction + own_amount - units >= -1e-6
    customer.admit_share += SHARE_EWMA_WEIGHT * (within - customer.admit_share)
    correction -= 0.0 if within else own_amount
    customer.counter_level, customer.counter_level_at = level - correction, called_at
    return within, correction
