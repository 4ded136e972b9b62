"""Pearson's r and the t statistic of its test: plain arithmetic, the judgement of it is the policy's."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable


def t_statistic(pairs: Iterable[tuple[float, float]]) -> float:
    """Give t of r for pairs of counts and pressure: 0 where there is no r, infinite for a straight line."""
    units, pressure = zip(*pairs, strict=True)
    if len(units) < 3 or min(units) == max(units) or min(pressure) == max(pressure):
        return 0.0
    r = statistics.correlation(units, pressure)
    if abs(r) >= 1.0 - 1e-12:
        return math.copysign(math.inf, r)
    return r * math.sqrt((len(units) - 2) / (1.0 - r * r))


def critical_t(normal_point: float, pairs: int) -> float:
    """Give Student's point at pairs - 2 degrees of freedom from the normal one: within 1% from 8 pairs on."""
    return normal_point * (1.0 + 1.3 / (pairs - 3))


def significant(pairs: list[tuple[float, float]], normal_point: float) -> bool:
    """Tell whether r is positive and passes the test that has the given normal point."""
    return t_statistic(pairs) > critical_t(normal_point, len(pairs))
