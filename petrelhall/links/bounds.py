"""How many connections one server and all servers together may have: bounds that are cut and grow again. Pure."""

from __future__ import annotations

from petrelhall.links.inventory import Inventory
from petrelhall.links.server import ServerConnections
from petrelhall.operator.settings import Links

CUT, GROW_MS = 0.7, 1000.0  # bound at a server after it refused; time in which the bound grows by one
TOTAL_GROW_MS = 500.0  # the same for all connections, after the machine had no descriptor


class Bounds:
    """The bounds in force; ``total`` is that of all connections."""

    def __init__(self, settings: Links, room: int, inventory: Inventory) -> None:
        self.room, self.inventory = room, inventory
        self.total_grown = 0.0
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Take other settings over."""
        self.per_box = settings.per_box
        self.most = min(settings.total or self.room, self.room)
        self.total = float(self.most)

    def bound(self, now: float, box: ServerConnections) -> float:
        """Give how many connections a box may have now; a bound that was cut grows by one a second."""
        most = self.per_box
        if box.bound < most and now - box.bound_changed_at >= GROW_MS:
            steps = int((now - box.bound_changed_at) / GROW_MS)
            box.bound, box.bound_changed_at = (
                min(float(most), box.bound + steps),
                box.bound_changed_at + steps * GROW_MS,
            )
        return box.bound

    def bound_of_all(self, now: float) -> float:
        """Give how many connections there may be in all."""
        if self.total < self.most and now - self.total_grown >= TOTAL_GROW_MS:
            steps = int((now - self.total_grown) / TOTAL_GROW_MS)
            self.total = min(float(self.most), self.total + steps)
            self.total_grown += steps * TOTAL_GROW_MS
        return self.total

    def cut(self, now: float, box: ServerConnections, established: int) -> None:
        """A box holds as many connections as it wants: lower the bound to fewer than it refused."""
        box.bound = max(1.0, min(CUT * self.bound(now, box), float(max(1, established))))
        box.bound_changed_at = now
        self.inventory.counts["bound.cut"] += 1

    def cut_total(self, now: float) -> None:
        """Lower the bound of all connections to what there is, since this machine has no descriptor left."""
        self.total, self.total_grown = max(1.0, min(self.total, float(self.inventory.open))), now
