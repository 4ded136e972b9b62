"""Decides whether a connection to a server may be opened now, and which are opened before they are needed. Pure."""

from __future__ import annotations

import random

from petrelhall.links.bounds import Bounds
from petrelhall.links.connection import ConnectionRecord, Wait
from petrelhall.links.inventory import Inventory
from petrelhall.links.server import ServerConnections
from petrelhall.links.slow_start import SlowStart
from petrelhall.operator.settings import Links

# No connection is preconnected to a server that closes idle ones sooner than this.
MIN_PRECONNECT_LIFETIME_MS = 200.0
# Pause in preconnecting after a preconnected connection was never used; it doubles each time, up to the maximum.
PRECONNECT_PAUSE_MS = 2000.0
MAX_PRECONNECT_PAUSE_MS = 120000.0
# Share by which the age or use count at which a connection is retired varies, so that not all retire at once.
RETIREMENT_JITTER = 0.2
# Time after which a request without a connection asks again, even if no connection has come free.
WAIT_RETRY_MS = 15.0


class ConnectionOpener:
    """Starts new connections, within the bounds and at the rate that a server's slow start allows."""

    def __init__(
        self, settings: Links, inventory: Inventory, bounds: Bounds, slow_start: SlowStart, rng: random.Random
    ) -> None:
        self.settings, self.inventory, self.bounds, self.slow_start = settings, inventory, bounds, slow_start
        self.rng = rng

    def required_wait(self, now: float, server: ServerConnections) -> Wait | None:
        """Return how long and why no connection to a server may be opened, or None if one may be opened now.

        Retires idle connections where that brings the count below a bound.
        """
        if server.open + 1 > self.bounds.bound(now, server):
            # Connections that are idle here cannot be used, at least not by this request.
            while server.idle and server.open + 1 > server.bound:
                self.inventory.retire(server.idle[0], "bound")
            if server.open + 1 > server.bound:
                return Wait(WAIT_RETRY_MS, "box_bound")
        if server.opening >= self.settings.opening_per_box or self.inventory.opening >= self.settings.opening:
            return Wait(WAIT_RETRY_MS, "opening")
        if self.slow_start.cold(now, server):
            if server.opening >= self.settings.cold.at_once:
                return Wait(WAIT_RETRY_MS, "cold")
            rate = self.slow_start.refill(now, server)
            if server.tokens < 1.0:
                return Wait(max(1.0, 1000.0 * (1.0 - server.tokens) / rate), "cold")
        if self.inventory.open + 1 > self.bounds.total_bound(now):
            oldest = next(iter(self.inventory.idle), None)
            if oldest is not None:
                self.inventory.retire(oldest, "room")
            if self.inventory.open + 1 > self.bounds.total:
                return Wait(WAIT_RETRY_MS, "total")
        return None

    def begin(self, now: float, server: ServerConnections, preconnected: bool) -> ConnectionRecord:
        """Count a new connection, which the connection pool now starts to open."""
        inventory = self.inventory
        record = ConnectionRecord(server, now, preconnected)
        server.opening += 1
        inventory.opening += 1
        inventory.open += 1
        server.open_count += 1
        if self.slow_start.cold(now, server):
            server.tokens -= 1.0
            inventory.counts["opened.cold"] += 1
        server.peak_open = max(server.peak_open, server.open)
        inventory.counts["opened.ahead" if preconnected else "opened.needed"] += 1
        if self.settings.max_age_s:
            record.expires_at = now + 1000.0 * self.settings.max_age_s * self.jitter()
        if self.settings.max_uses:
            record.max_uses = max(1, int(self.settings.max_uses * self.jitter()))
        return record

    def jitter(self) -> float:
        """Return a random factor close to 1."""
        return 1.0 + RETIREMENT_JITTER * (2.0 * self.rng.random() - 1.0)

    def preconnect(self, now: float, server: ServerConnections, preconnected: list[ConnectionRecord]) -> None:
        """Open one spare connection beyond a server's recent use, where requests had to wait for new connections.

        A connection that is opened is appended to ``preconnected``.
        """
        if (
            now < server.preconnect_allowed_at
            or server.found_dead_at
            or server.idle_limit_ms < MIN_PRECONNECT_LIFETIME_MS
            or self.slow_start.cold(now, server)
        ):
            return
        wanted = max(server.peak_in_use, server.previous_peak_in_use) + self.settings.ahead
        if server.open + 1 > min(
            wanted, self.bounds.bound(now, server)
        ) or self.inventory.open + 1 > self.bounds.total_bound(now):
            return
        if self.required_wait(now, server) is None:
            preconnected.append(self.begin(now, server, True))

    def record_unused(self, now: float, record: ConnectionRecord) -> None:
        """Record a connection that ended; if it was preconnected and never used, pause, longer each time."""
        if record.preconnected and not record.uses:
            server = record.server
            server.preconnect_allowed_at = now + min(
                MAX_PRECONNECT_PAUSE_MS, PRECONNECT_PAUSE_MS * 2.0 ** min(10, server.wasted_preconnects)
            )
            server.wasted_preconnects += 1
            self.inventory.counts["ahead.wasted"] += 1
