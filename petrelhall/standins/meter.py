"""Counts units at the boxes, and holds them against a quota of one store for all. Shares no code with the gateway."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass
class Store:
    """A district's quota as the agreement has it: one store, filled at a rate; and how far use went beyond it."""

    rate: float
    burst: float
    level: float = 0.0  # may go below zero: then so much was used beyond
    at: float = 0.0
    used: float = 0.0
    beyond: float = 0.0  # most by which any window held more than rate x its length + burst

    def __post_init__(self) -> None:
        """Begin full."""
        self.level = self.burst

    def fill(self, now: float) -> float:
        """Bring it up to now, and give what it holds."""
        self.level = min(self.burst, self.level + self.rate * max(0.0, now - self.at))
        self.at = max(self.at, now)
        return self.level

    def use(self, now: float, units: float) -> None:
        """Book units that reached a box. What lies below zero is exactly the worst window's excess."""
        self.fill(now)
        self.level -= units
        self.used += units
        self.beyond = max(self.beyond, -self.level)


@dataclass
class Meter:
    """All districts of a run."""

    rate: float
    burst: float
    stores: dict[int, Store] = field(default_factory=dict)
    refused: int = 0
    refused_half_unused: int = 0
    asked: dict[int, int] = field(default_factory=lambda: defaultdict(int))

    def store(self, district: int, now: float) -> Store:
        """Give a district's store, full where it is new."""
        found = self.stores.get(district)
        if found is None:
            found = self.stores[district] = Store(self.rate, self.burst, at=now)
        return found

    def use(self, district: int, now: float) -> None:
        """A request of one unit reached a box for the first time."""
        self.store(district, now).use(now, 1.0)

    def refuse(self, district: int, now: float) -> None:
        """A request was refused."""
        self.refused += 1
        self.refused_half_unused += self.store(district, now).fill(now) >= self.burst / 2.0

    def worst(self) -> float:
        """Give the most units beyond any district's quota in any window."""
        return max((store.beyond for store in self.stores.values()), default=0.0)

    def least_served(self, seconds: float) -> float:
        """Give the least share of rate x time that any district was served."""
        return min((store.used / (store.rate * seconds) for store in self.stores.values()), default=0.0)
