"""Slow start: limits the rate at which connections to a recently started server are opened. Pure."""

from __future__ import annotations

import random

from petrelhall.links.limits import NEVER
from petrelhall.links.server import ServerConnections
from petrelhall.operator.settings import Cold, Links

# Time for which a started server is cold, where neither the platform nor the operators specify it.
DEFAULT_COLD_MS = 10000.0
# Rate of opening connections to a server that is nearly warm, relative to the rate for a cold one.
WARM_RATE_FACTOR = 8.0


class SlowStart:
    """The rate at which connections to cold servers may be opened, as a token bucket for each server."""

    def __init__(self, settings: Links, platform_cold_ms: float, gateways: int, rng: random.Random) -> None:
        self.platform_cold_ms, self.gateways, self.rng = platform_cold_ms, gateways, rng
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Apply new settings."""
        self.settings: Cold = settings.cold
        self.cold_ms = settings.cold.ms or self.platform_cold_ms or DEFAULT_COLD_MS

    def begin(self, now: float, server: ServerConnections, since: float) -> None:
        """Start the slow start of a server that has just started, at a different moment on each gateway."""
        server.cold_since = since
        if self.cold(now, server):
            # With several gateways the first token is delayed by a random part of the time in which the rate gives
            # each gateway one connection, so that they do not all connect at once.
            server.tokens = 1.0 - self.rng.random() * (1.0 if self.gateways > 1 else 0.0)
            server.tokens_updated_at = now
            server.warm_up_at = NEVER

    def cold(self, now: float, server: ServerConnections) -> bool:
        """Return whether a server is still warming up."""
        return bool(server.cold_since) and now - server.cold_since < self.cold_ms

    def refill(self, now: float, server: ServerConnections) -> float:
        """Refill the token bucket of a cold server and return this gateway's rate in connections per second."""
        warmth = min(1.0, max(0.0, (now - server.cold_since) / self.cold_ms))
        rate = self.settings.per_s * (1.0 + (WARM_RATE_FACTOR - 1.0) * warmth) / self.gateways
        server.tokens = min(1.0, server.tokens + rate * (now - server.tokens_updated_at) / 1000.0)
        server.tokens_updated_at = now
        return rate
