"""Which idle connection of a server a request goes on. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from petrelhall.links.connection import Link
from petrelhall.links.inventory import Inventory
from petrelhall.links.server import Box
from petrelhall.links.staleness import StalenessTracker

ESTIMATE_MAX_AGE_MS = 1000.0  # between two looks at what a server's kept connections have shown, unless one died
REFRESH = 0.5  # share of its allowed idle time after which a connection that is still needed is used first
# A connection rests for so long between an answer and the next request. A server may send a second copy of its answer
# some milliseconds late: what comes after the next request was written would be taken for that one's answer.
REUSE_DELAY_MS = 20.0
RESTS = 5  # requests in a window that wait for that at one server; beyond them it has too few connections for its use


class ReusePolicy:
    """The choice among idle connections, in the operators' ``order``."""

    def __init__(self, order: str, inventory: Inventory, staleness: StalenessTracker) -> None:
        self.order, self.inventory, self.staleness = order, inventory, staleness

    def pick(self, now: float, box: Box, free: bool) -> Link | None:
        """Choose among a box's idle connections; those that are not to be used again are retired on the way."""
        if now - box.looked > ESTIMATE_MAX_AGE_MS:
            self.staleness.refresh_limits(now, box)
        kept = min(box.kept_ms, box.hold_ms)
        while box.idle and now - box.idle[0].idle_since >= kept:  # the longest idle come first
            self.inventory.retire(box.idle[0], "idle")
        if not box.idle:
            return None
        sure = kept if free else min(kept, box.sure_ms)
        order = self.order
        if order == "last_used":
            # One that will be wanted again, since as many were in use just now, is used before it grows too old:
            # left to die it would only have to be opened anew.
            oldest = box.idle[0]
            age = now - oldest.idle_since
            if (
                age > REFRESH * kept
                and age < sure
                and box.open <= max(box.peak, box.last_peak)
                and now < oldest.until
                and oldest.idle_since >= box.doubt
            ):
                return oldest
            candidates: Iterable[Link] = reversed(box.idle)
        elif order == "oldest":
            candidates = sorted(box.idle, key=lambda link: link.opened)
        else:
            candidates = sorted(box.idle, key=lambda link: link.uses)
        for link in candidates:
            if link.uses and now - link.idle_since < REUSE_DELAY_MS:
                continue
            if now >= link.until:
                self.inventory.retire(link, "age")
                return self.pick(now, box, free)
            if now - link.idle_since >= sure:
                if order == "last_used":
                    return None  # all others have been idle for longer
                continue
            link.tried = link.idle_since < box.doubt
            if link.tried:
                if not free or box.trying:
                    continue
                box.trying = True
            return link
        return None

    def reuse_delay_left_ms(self, now: float, box: Box, wait_ms: float) -> float:
        """Give the ms after which a box's latest answered connection may be used, 0 where none is worth waiting for.

        A new connection costs its box work and takes longer than that; nor is the resting one to be closed for it.
        Where that happens often, another is opened, once, and then one that has rested is there. ``wait_ms`` is how
        long a request may wait for a connection.
        """
        left = REUSE_DELAY_MS - (now - box.idle[-1].idle_since) if box.idle and box.idle[-1].uses else 0.0
        often = box.rests >= RESTS and box.open + 1 <= box.bound
        return max(1.0, left) if 0.0 < left and wait_ms > REUSE_DELAY_MS and not often else 0.0
