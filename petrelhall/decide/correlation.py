"""Pearson's correlation coefficient r and its t-test. Plain arithmetic: what follows from it is decided elsewhere."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable


def t_statistic(pairs: Iterable[tuple[float, float]]) -> float:
    """Return the t statistic of r for pairs of units and load pressure.

    It is 0 where r is undefined and infinite where the pairs lie on a straight line.
    """
    units, pressure = zip(*pairs, strict=True)
    if len(units) < 3 or min(units) == max(units) or min(pressure) == max(pressure):
        return 0.0
    r = statistics.correlation(units, pressure)
    if abs(r) >= 1.0 - 1e-12:
        return math.copysign(math.inf, r)
    return r * math.sqrt((len(units) - 2) / (1.0 - r * r))


def critical_t(normal_quantile: float, pairs: int) -> float:
    """Approximate the quantile of Student's t at pairs - 2 degrees of freedom from that of the normal distribution.

    The error is below 1% from 8 pairs on.
    """
    return normal_quantile * (1.0 + 1.3 / (pairs - 3))


def significant(pairs: list[tuple[float, float]], normal_quantile: float) -> bool:
    """Tell whether r is positive and significant at the level of the given quantile of the normal distribution."""
    return t_statistic(pairs) > critical_t(normal_quantile, len(pairs))
