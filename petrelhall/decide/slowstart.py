"""The work that a cold server may be given. Pure: settings and the time come from outside."""

from __future__ import annotations

from petrelhall.decide.interface import Settings
from petrelhall.decide.state import Link

COLD_PART = 0.64  # of the work that pushes a cold server over: a warm one's work, times it, is its share
COLD_FLOOR = 0.5  # requests/s to a cold server from all gateways while no warm rate is known


def cold_room(link: Link, now: float, settings: Settings, warm_rate: float) -> float:
    """Slow start: the share of a warm server's work that this one can do, 0 once it had that.

    ``warm_rate`` is what this gateway sends to a warm server, in attempts a second.
    """
    age = (now - (link.cold_since or 0.0)) / max(1.0, settings.cold_ms)
    if link.cold_since is None or age >= 1.0:
        link.cold_since = None
        return 1.0
    ramp = settings.cold_from + (1.0 - settings.cold_from) * max(0.0, age)
    share = ramp * max(1.0, COLD_PART * settings.overload_factor)
    rate = share * max(COLD_FLOOR / settings.gateways, warm_rate) / 1000.0
    link.cold_store = min(1.0, link.cold_store + rate * (now - link.cold_filled))
    link.cold_filled = now
    return ramp if link.cold_store >= 1.0 else 0.0
