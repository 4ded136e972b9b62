"""Slow start: a server that has just started gets its first connections at a pace, and not from all at once. Pure."""

from __future__ import annotations

import random

from petrelhall.links.limits import NEVER
from petrelhall.links.server import ServerConnections
from petrelhall.operator.settings import Cold, Links

UNTOLD_MS = 10000.0  # for which a started server is cold, where neither platform nor operators say
RAMP = 8.0  # pace of opening to a server that is nearly warm, over that to a cold one


class SlowStart:
    """The pace at which connections to cold servers may be opened, as a token bucket for each server."""

    def __init__(self, settings: Links, platform_cold_ms: float, gateways: int, draw: random.Random) -> None:
        self.platform_cold_ms, self.gateways, self.random = platform_cold_ms, gateways, draw
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Take other settings over."""
        self.settings: Cold = settings.cold
        self.cold_ms = settings.cold.ms or self.platform_cold_ms or UNTOLD_MS

    def begin(self, now: float, box: ServerConnections, since: float) -> None:
        """A box has just started: its first connections come at a pace, and not from all gateways at once."""
        box.cold_since = since
        if self.cold(now, box):
            # Spread over the time in which the pace gives each gateway one.
            box.tokens = 1.0 - self.random.random() * (1.0 if self.gateways > 1 else 0.0)
            box.tokens_updated_at = now
            box.warm_up_at = NEVER

    def cold(self, now: float, box: ServerConnections) -> bool:
        """Tell whether a box is still warming up."""
        return bool(box.cold_since) and now - box.cold_since < self.cold_ms

    def fill(self, now: float, box: ServerConnections) -> float:
        """Bring a cold box's tokens up to date, and give this gateway's pace in connections a second."""
        warmth = min(1.0, max(0.0, (now - box.cold_since) / self.cold_ms))
        rate = self.settings.per_s * (1.0 + (RAMP - 1.0) * warmth) / self.gateways
        box.tokens = min(1.0, box.tokens + rate * (now - box.tokens_updated_at) / 1000.0)
        box.tokens_updated_at = now
        return rate
