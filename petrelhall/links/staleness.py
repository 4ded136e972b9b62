"""How long a server's idle connections are worth using, learned from those that were found closed. Pure."""

from __future__ import annotations

from petrelhall.links.inventory import Inventory
from petrelhall.links.limits import FLOOR_MS, NEVER, SurvivalEstimate
from petrelhall.links.server import Box
from petrelhall.links.slow_start import SlowStart
from petrelhall.operator.settings import Links

IDLE_SHARE = 0.8  # of the platform's limit on idle connections that is used
ALL_AT_ONCE = 3  # connections that end together, with none left, are their server's end
DEATH_SPAN_MS = 150.0  # deaths of one server are looked at together: a server that ends takes all its connections along
ALIKE = 1.3  # idle times within this ratio died of one limit


class StalenessTracker:
    """What becomes of kept connections, for each server and, as a prior for new ones, for all together."""

    def __init__(self, settings: Links, platform_idle_ms: float, inventory: Inventory, slow_start: SlowStart) -> None:
        self.platform_idle_ms, self.inventory, self.slow_start = platform_idle_ms, inventory, slow_start
        self.fleet: SurvivalEstimate | None = None
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Take other settings over."""
        self.settings = settings.stale
        self.idle_ms = settings.stale.idle_ms or IDLE_SHARE * self.platform_idle_ms

    def initial_estimate(self, now: float) -> SurvivalEstimate:
        """Give what is held of a server that has shown nothing yet."""
        half_life_ms = self.settings.half_life_s * 1000.0
        if self.fleet is None:
            self.fleet = SurvivalEstimate(now, half_life_ms)
        return SurvivalEstimate(now, half_life_ms, self.fleet)

    def refresh_limits(self, now: float, box: Box) -> None:
        """Draw the line anew between connections that are worth using and those that are not."""
        box.looked = now
        if box.survived and self.fleet is not None:  # the longest since the last look: the prior needs no more
            self.fleet.record_served(now, box.survived)
            box.survived = 0.0
        tolerance = self.settings.tolerance
        told = min(self.idle_ms, IDLE_SHARE * box.hint_ms)
        box.kept_ms = min(told, box.survival.limit(now, tolerance))
        # Unharmed uses at some idle time are what a request needs whose repeat is not free.
        sure = box.survival.limit(now, 0.1 * tolerance, bold=False)
        box.sure_ms = min(sure, max(self.settings.proven_ms, box.survival.survived(now)))

    def record_death(self, now: float, box: Box, idle_ms: float, seen: bool) -> None:
        """Keep a death until it can be told whether the whole box ended; meanwhile none as old is used."""
        box.deaths.append((now, idle_ms, seen))
        box.hold_ms = min(box.hold_ms, max(FLOOR_MS, idle_ms))

    def detect_server_end(self, now: float, box: Box, left: int) -> bool:
        """Tell whether a box itself has ended, now that another connection did and so many are left.

        What is there when it is back, or in its place, is cold, however late the list says so; and its
        connections tell nothing of how long it keeps idle ones.
        """
        if now - box.ends_at > DEATH_SPAN_MS:
            box.ends, box.ends_at = 0, now
        box.ends += 1
        if left or box.ends < ALL_AT_ONCE:
            return False
        self.inventory.counts["boxes.ended"] += 1
        box.deaths.clear()
        box.hold_ms = NEVER
        self.slow_start.begin(now, box, now)
        return True

    def evaluate_deaths(self, now: float, box: Box) -> None:
        """Learn from deaths that came together: of one idle limit, or of the box's own end."""
        ages = [max(1.0, idle_ms) for _, idle_ms, _ in box.deaths]
        whole = len(ages) > 2 and max(ages) > ALIKE * min(ages) and box.deaths[-1][0] - box.deaths[0][0] < DEATH_SPAN_MS
        if whole and now - box.answered > DEATH_SPAN_MS:  # all at once, of whatever age, and nothing since
            self.inventory.counts["deaths.of_box"] += len(ages)
        else:
            for when, idle_ms, seen in box.deaths:
                (box.survival.closed if seen else box.survival.broke)(when, idle_ms)
                if self.fleet is not None:
                    (self.fleet.closed if seen else self.fleet.broke)(when, idle_ms)
        box.deaths.clear()
        box.hold_ms = NEVER
        box.looked = -NEVER

    def retire_suspected(self, box: Box) -> None:
        """One of the connections in doubt proved dead: so, as far as can be told, are the others."""
        while box.idle and box.idle[0].idle_since < box.doubt:
            self.inventory.retire(box.idle[0], "doubt")
