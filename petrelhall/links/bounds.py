"""Bounds on the connections to one server and to all servers; they are lowered on refusal and grow again. Pure."""

from __future__ import annotations

from petrelhall.links.inventory import Inventory
from petrelhall.links.server import ServerConnections
from petrelhall.operator.settings import Links

REFUSAL_BACKOFF_FACTOR = 0.7  # applied to a server's bound after it refused a connection
GROWTH_INTERVAL_MS = 1000.0  # time in which a server's lowered bound grows by one
TOTAL_GROWTH_INTERVAL_MS = 500.0  # the same for the total, after this machine ran out of file descriptors


class Bounds:
    """The bounds in force; ``total`` is the bound on all connections."""

    def __init__(self, settings: Links, capacity: int, inventory: Inventory) -> None:
        self.capacity, self.inventory = capacity, inventory
        self.total_changed_at = 0.0
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Apply new settings."""
        self.per_server = settings.per_box
        self.most = min(settings.total or self.capacity, self.capacity)
        self.total = float(self.most)

    def bound(self, now: float, server: ServerConnections) -> float:
        """Return how many connections a server may have now; a lowered bound grows by one per second."""
        most = self.per_server
        if server.bound < most and now - server.bound_changed_at >= GROWTH_INTERVAL_MS:
            steps = int((now - server.bound_changed_at) / GROWTH_INTERVAL_MS)
            server.bound, server.bound_changed_at = (
                min(float(most), server.bound + steps),
                server.bound_changed_at + steps * GROWTH_INTERVAL_MS,
            )
        return server.bound

    def total_bound(self, now: float) -> float:
        """Return how many connections there may be in total."""
        if self.total < self.most and now - self.total_changed_at >= TOTAL_GROWTH_INTERVAL_MS:
            steps = int((now - self.total_changed_at) / TOTAL_GROWTH_INTERVAL_MS)
            self.total = min(float(self.most), self.total + steps)
            self.total_changed_at += steps * TOTAL_GROWTH_INTERVAL_MS
        return self.total

    def lower(self, now: float, server: ServerConnections, established: int) -> None:
        """Lower the bound of a server that accepts no more connections, to fewer than it refused."""
        server.bound = max(1.0, min(REFUSAL_BACKOFF_FACTOR * self.bound(now, server), float(max(1, established))))
        server.bound_changed_at = now
        self.inventory.counts["bound.cut"] += 1

    def lower_total(self, now: float) -> None:
        """Lower the total bound to the connections that exist, since this machine has no file descriptor left."""
        self.total, self.total_changed_at = max(1.0, min(self.total, float(self.inventory.open))), now
