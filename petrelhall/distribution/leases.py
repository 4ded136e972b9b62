"""The coordinator's table: which gateway may hold a lease on which version, and until when. Times are handed in."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.distribution.messages import LeaseRequest
from petrelhall.distribution.timing import Timing

FORGOTTEN_MS = 60_000.0  # after which a gateway that says nothing is listed as missing no more


@dataclass(slots=True)
class Holder:
    """What one process of a gateway may hold, and what it said last."""

    version: int = 0  # of the lease
    until: float = 0.0
    held: int = 0
    prepared: int = 0
    heard_at: float = 0.0


class LeaseTable:
    """Leases by gateway and incarnation."""

    def __init__(self, timing: Timing) -> None:
        self.timing = timing
        self.holders: dict[tuple[int, int], Holder] = {}

    def heard(self, now: float, request: LeaseRequest) -> Holder:
        """Take in what a gateway says; what it holds of a later version releases its leases on earlier ones."""
        key = request.gateway, request.incarnation
        holder = self.holders.get(key)
        if holder is None:
            holder = self.holders[key] = Holder()
        holder.heard_at = now
        holder.held = max(holder.held, request.held)
        holder.prepared = max(holder.prepared, request.prepared)
        if holder.version < request.held or not request.wants_lease:
            holder.until = now
        return holder

    def grant(self, now: float, holder: Holder, version: int) -> None:
        """Count a lease, longer than it lasts at the gateway."""
        holder.version, holder.until = version, now + self.timing.granted_ms

    def earlier_than(self, now: float, version: int) -> bool:
        """Tell whether any lease on an earlier version may still run."""
        return any(holder.until > now and holder.version < version for holder in self.holders.values())

    def unprepared(self, now: float, version: int) -> list[int]:
        """Give the gateways that may hold a lease and have not said that they are prepared for a version."""
        return [
            gateway
            for (gateway, _), holder in self.holders.items()
            if holder.until > now and max(holder.prepared, holder.held) < version
        ]

    def forget(self, now: float) -> None:
        """Forget processes that have been silent for long; their leases ended long ago."""
        for key in [key for key, holder in self.holders.items() if now - holder.heard_at > FORGOTTEN_MS]:
            if self.holders[key].until <= now:
                del self.holders[key]

    def latest(self) -> dict[int, Holder]:
        """Give, of each gateway heard of lately, the process that was heard of last."""
        found: dict[int, Holder] = {}
        for (gateway, _), holder in self.holders.items():
            if gateway not in found or found[gateway].heard_at < holder.heard_at:
                found[gateway] = holder
        return found

    def missing(self, now: float, version: int) -> list[tuple[int, Holder]]:
        """Give the gateways, of those heard of lately, that hold no lease on a version."""
        return [
            (gateway, holder)
            for gateway, holder in sorted(self.latest().items())
            if holder.until <= now or holder.version != version
        ]
