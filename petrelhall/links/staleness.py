"""How long a server's idle connections are worth using, learned from those that were found closed. Pure."""

from __future__ import annotations

from petrelhall.links.inventory import Inventory
from petrelhall.links.limits import FLOOR_MS, NEVER, Survival
from petrelhall.links.server import ServerConnections
from petrelhall.links.slow_start import SlowStart
from petrelhall.operator.settings import Links

IDLE_SHARE = 0.8  # of the platform's limit on idle connections that is used
ALL_AT_ONCE = 3  # connections that end together, with none left, are their server's end
SETTLE_MS = 150.0  # deaths of one server are looked at together: a server that ends takes all its connections along
ALIKE = 1.3  # idle times within this ratio died of one limit


class Staleness:
    """What becomes of kept connections, for each server and, as a prior for new ones, for all together."""

    def __init__(self, settings: Links, platform_idle_ms: float, inventory: Inventory, slow_start: SlowStart) -> None:
        self.platform_idle_ms, self.inventory, self.slow_start = platform_idle_ms, inventory, slow_start
        self.fleet: Survival | None = None
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Take other settings over."""
        self.settings = settings.stale
        self.idle_ms = settings.stale.idle_ms or IDLE_SHARE * self.platform_idle_ms

    def of_new_server(self, now: float) -> Survival:
        """Give what is held of a server that has shown nothing yet."""
        half_life_ms = self.settings.half_life_s * 1000.0
        if self.fleet is None:
            self.fleet = Survival(now, half_life_ms)
        return Survival(now, half_life_ms, self.fleet)

    def look(self, now: float, box: ServerConnections) -> None:
        """Draw the line anew between connections that are worth using and those that are not."""
        box.limits_updated_at = now
        if (
            box.longest_survived_ms and self.fleet is not None
        ):  # the longest since the last look: the prior needs no more
            self.fleet.served(now, box.longest_survived_ms)
            box.longest_survived_ms = 0.0
        tolerance = self.settings.tolerance
        told = min(self.idle_ms, IDLE_SHARE * box.keep_alive_hint_ms)
        box.idle_limit_ms = min(told, box.survival.limit(now, tolerance))
        # Unharmed uses at some idle time are what a request needs whose repeat is not free.
        sure = box.survival.limit(now, 0.1 * tolerance, bold=False)
        box.proven_idle_limit_ms = min(sure, max(self.settings.proven_ms, box.survival.survived(now)))

    def died(self, now: float, box: ServerConnections, idle_ms: float, seen: bool) -> None:
        """Keep a death until it can be told whether the whole box ended; meanwhile none as old is used."""
        box.unsettled_deaths.append((now, idle_ms, seen))
        box.provisional_idle_limit_ms = min(box.provisional_idle_limit_ms, max(FLOOR_MS, idle_ms))

    def server_ended(self, now: float, box: ServerConnections, left: int) -> bool:
        """Tell whether a box itself has ended, now that another connection did and so many are left.

        What is there when it is back, or in its place, is cold, however late the list says so; and its
        connections tell nothing of how long it keeps idle ones.
        """
        if now - box.recent_ends_since > SETTLE_MS:
            box.recent_ends, box.recent_ends_since = 0, now
        box.recent_ends += 1
        if left or box.recent_ends < ALL_AT_ONCE:
            return False
        self.inventory.counts["boxes.ended"] += 1
        box.unsettled_deaths.clear()
        box.provisional_idle_limit_ms = NEVER
        self.slow_start.begin(now, box, now)
        return True

    def settle(self, now: float, box: ServerConnections) -> None:
        """Learn from deaths that came together: of one idle limit, or of the box's own end."""
        ages = [max(1.0, idle_ms) for _, idle_ms, _ in box.unsettled_deaths]
        whole = (
            len(ages) > 2
            and max(ages) > ALIKE * min(ages)
            and box.unsettled_deaths[-1][0] - box.unsettled_deaths[0][0] < SETTLE_MS
        )
        if whole and now - box.last_response_at > SETTLE_MS:  # all at once, of whatever age, and nothing since
            self.inventory.counts["deaths.of_box"] += len(ages)
        else:
            for when, idle_ms, seen in box.unsettled_deaths:
                (box.survival.closed if seen else box.survival.broke)(when, idle_ms)
                if self.fleet is not None:
                    (self.fleet.closed if seen else self.fleet.broke)(when, idle_ms)
        box.unsettled_deaths.clear()
        box.provisional_idle_limit_ms = NEVER
        box.limits_updated_at = -NEVER

    def drop_doubtful(self, box: ServerConnections) -> None:
        """One of the connections in doubt proved dead: so, as far as can be told, are the others."""
        while box.idle and box.idle[0].idle_since < box.suspected_before:
            self.inventory.retire(box.idle[0], "doubt")
