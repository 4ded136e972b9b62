"""Whether a connection to a server may be opened now, and which are opened ahead of need. Pure."""

from __future__ import annotations

import random

from petrelhall.links.bounds import Bounds
from petrelhall.links.connection import ConnectionRecord, Wait
from petrelhall.links.inventory import Inventory
from petrelhall.links.server import ServerConnections
from petrelhall.links.slow_start import SlowStart
from petrelhall.operator.settings import Links

WORTH_MS = 200.0  # connections die sooner than this: none is opened ahead
PAUSE_MS, PAUSE_MOST_MS = 2000.0, 120000.0  # without opening ahead after one was opened for nothing
SPREAD = 0.2  # of an age or a count of uses at which connections are retired: not all at once
RETRY_MS = 15.0  # in which a request without a connection asks again, though nothing woke it


class Opening:
    """Begins connections, within the bounds and at the pace of a server's slow start."""

    def __init__(
        self, settings: Links, inventory: Inventory, bounds: Bounds, slow_start: SlowStart, draw: random.Random
    ) -> None:
        self.settings, self.inventory, self.bounds, self.slow_start = settings, inventory, bounds, slow_start
        self.random = draw

    def hindered(self, now: float, box: ServerConnections) -> Wait | None:
        """Say why no connection to a box may be opened now, if so; makes room where that can be had."""
        if box.open + 1 > self.bounds.bound(now, box):
            while box.idle and box.open + 1 > box.bound:  # idle, and yet not to be used: by this request at least
                self.inventory.retire(box.idle[0], "bound")
            if box.open + 1 > box.bound:
                return Wait(RETRY_MS, "box_bound")
        if box.opening >= self.settings.opening_per_box or self.inventory.opening >= self.settings.opening:
            return Wait(RETRY_MS, "opening")
        if self.slow_start.cold(now, box):
            if box.opening >= self.settings.cold.at_once:
                return Wait(RETRY_MS, "cold")
            rate = self.slow_start.fill(now, box)
            if box.tokens < 1.0:
                return Wait(max(1.0, 1000.0 * (1.0 - box.tokens) / rate), "cold")
        if self.inventory.open + 1 > self.bounds.bound_of_all(now):
            oldest = next(iter(self.inventory.idle), None)
            if oldest is not None:
                self.inventory.retire(oldest, "room")
            if self.inventory.open + 1 > self.bounds.total:
                return Wait(RETRY_MS, "total")
        return None

    def begin(self, now: float, box: ServerConnections, ahead: bool) -> ConnectionRecord:
        """Count a connection that the shell now begins to open."""
        inventory = self.inventory
        link = ConnectionRecord(box, now, ahead)
        box.opening += 1
        inventory.opening += 1
        inventory.open += 1
        box.open_count += 1
        if self.slow_start.cold(now, box):
            box.tokens -= 1.0
            inventory.counts["opened.cold"] += 1
        box.peak_open = max(box.peak_open, box.open)
        inventory.counts["opened.ahead" if ahead else "opened.needed"] += 1
        if self.settings.max_age_s:
            link.expires_at = now + 1000.0 * self.settings.max_age_s * self.jitter()
        if self.settings.max_uses:
            link.max_uses = max(1, int(self.settings.max_uses * self.jitter()))
        return link

    def jitter(self) -> float:
        """Give a factor about one."""
        return 1.0 + SPREAD * (2.0 * self.random.random() - 1.0)

    def open_ahead(self, now: float, box: ServerConnections, ahead: list[ConnectionRecord]) -> None:
        """Open a spare beyond a box's recent use, where requests had to wait for new connections."""
        if (
            now < box.preconnect_allowed_at
            or box.found_dead_at
            or box.idle_limit_ms < WORTH_MS
            or self.slow_start.cold(now, box)
        ):
            return
        wanted = max(box.peak_in_use, box.previous_peak_in_use) + self.settings.ahead
        if box.open + 1 > min(
            wanted, self.bounds.bound(now, box)
        ) or self.inventory.open + 1 > self.bounds.bound_of_all(now):
            return
        if self.hindered(now, box) is None:
            ahead.append(self.begin(now, box, True))

    def unused(self, now: float, link: ConnectionRecord) -> None:
        """Learn from a connection that was opened ahead and never used: pause, longer each time."""
        if link.preconnected and not link.uses:
            box = link.server
            box.preconnect_allowed_at = now + min(PAUSE_MOST_MS, PAUSE_MS * 2.0 ** min(10, box.wasted_preconnects))
            box.wasted_preconnects += 1
            self.inventory.counts["ahead.wasted"] += 1
