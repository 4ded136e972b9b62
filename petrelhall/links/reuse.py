"""Which idle connection of a server a request goes on. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from petrelhall.links.connection import ConnectionRecord
from petrelhall.links.inventory import Inventory
from petrelhall.links.server import ServerConnections
from petrelhall.links.staleness import Staleness

FRESH_MS = 1000.0  # between two looks at what a server's kept connections have shown, unless one died
REFRESH = 0.5  # share of its allowed idle time after which a connection that is still needed is used first
# A connection rests for so long between an answer and the next request. A server may send a second copy of its answer
# some milliseconds late: what comes after the next request was written would be taken for that one's answer.
REST_MS = 20.0
RESTS = 5  # requests in a window that wait for that at one server; beyond them it has too few connections for its use


class Reuse:
    """The choice among idle connections, in the operators' ``order``."""

    def __init__(self, order: str, inventory: Inventory, staleness: Staleness) -> None:
        self.order, self.inventory, self.staleness = order, inventory, staleness

    def pick(self, now: float, box: ServerConnections, free: bool) -> ConnectionRecord | None:
        """Choose among a box's idle connections; those that are not to be used again are retired on the way."""
        if now - box.limits_updated_at > FRESH_MS:
            self.staleness.look(now, box)
        kept = min(box.idle_limit_ms, box.provisional_idle_limit_ms)
        while box.idle and now - box.idle[0].idle_since >= kept:  # the longest idle come first
            self.inventory.retire(box.idle[0], "idle")
        if not box.idle:
            return None
        sure = kept if free else min(kept, box.proven_idle_limit_ms)
        order = self.order
        if order == "last_used":
            # One that will be wanted again, since as many were in use just now, is used before it grows too old:
            # left to die it would only have to be opened anew.
            oldest = box.idle[0]
            age = now - oldest.idle_since
            if (
                age > REFRESH * kept
                and age < sure
                and box.open <= max(box.peak_in_use, box.previous_peak_in_use)
                and now < oldest.expires_at
                and oldest.idle_since >= box.suspected_before
            ):
                return oldest
            candidates: Iterable[ConnectionRecord] = reversed(box.idle)
        elif order == "oldest":
            candidates = sorted(box.idle, key=lambda link: link.opened_at)
        else:
            candidates = sorted(box.idle, key=lambda link: link.uses)
        for link in candidates:
            if link.uses and now - link.idle_since < REST_MS:
                continue
            if now >= link.expires_at:
                self.inventory.retire(link, "age")
                return self.pick(now, box, free)
            if now - link.idle_since >= sure:
                if order == "last_used":
                    return None  # all others have been idle for longer
                continue
            link.suspected = link.idle_since < box.suspected_before
            if link.suspected:
                if not free or box.probing_suspect:
                    continue
                box.probing_suspect = True
            return link
        return None

    def resting(self, now: float, box: ServerConnections, wait_ms: float) -> float:
        """Give the ms after which a box's latest answered connection may be used, 0 where none is worth waiting for.

        A new connection costs its box work and takes longer than that; nor is the resting one to be closed for it.
        Where that happens often, another is opened, once, and then one that has rested is there. ``wait_ms`` is how
        long a request may wait for a connection.
        """
        left = REST_MS - (now - box.idle[-1].idle_since) if box.idle and box.idle[-1].uses else 0.0
        often = box.rest_waits >= RESTS and box.open + 1 <= box.bound
        return max(1.0, left) if 0.0 < left and wait_ms > REST_MS and not often else 0.0
