"""Chooses the idle connection of a server that a request is sent on. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from petrelhall.links.connection import ConnectionRecord
from petrelhall.links.inventory import Inventory
from petrelhall.links.server import ServerConnections
from petrelhall.links.staleness import StalenessTracker

# A server's idle limits are computed again after this time, or at once after a connection was found dead.
ESTIMATE_MAX_AGE_MS = 1000.0
# Share of the allowed idle time after which a connection that is still needed is used before the others.
REFRESH_SHARE = 0.5
# Time between an answer and the next request on the same connection. A server may send a second copy of its answer
# some milliseconds late; if the next request was already written, the copy would be taken for the answer to that one.
REUSE_DELAY_MS = 20.0
# Requests to one server in a window that wait for the reuse delay; if there are more, the server has too few
# connections for its load and another one is opened.
MAX_REUSE_WAITS = 5


class ReusePolicy:
    """Selects among idle connections in the configured ``order``."""

    def __init__(self, order: str, inventory: Inventory, staleness: StalenessTracker) -> None:
        self.order, self.inventory, self.staleness = order, inventory, staleness

    def pick(self, now: float, server: ServerConnections, repeatable: bool) -> ConnectionRecord | None:
        """Return an idle connection to a server, or None; retires those that must not be used again.

        ``repeatable`` says that running the request twice does no harm, so that a connection which may be dead is
        acceptable.
        """
        if now - server.limits_updated_at > ESTIMATE_MAX_AGE_MS:
            self.staleness.refresh_limits(now, server)
        max_idle_ms = min(server.idle_limit_ms, server.provisional_idle_limit_ms)
        while server.idle and now - server.idle[0].idle_since >= max_idle_ms:  # sorted by idle time, longest first
            self.inventory.retire(server.idle[0], "idle")
        if not server.idle:
            return None
        safe_idle_ms = max_idle_ms if repeatable else min(max_idle_ms, server.proven_idle_limit_ms)
        order = self.order
        if order == "last_used":
            # A connection will be needed again if as many were in use recently. It is used before it grows too old,
            # since otherwise it would die and a new one would have to be opened.
            oldest = server.idle[0]
            idle_ms = now - oldest.idle_since
            if (
                not is_resting(now, oldest)
                and idle_ms > REFRESH_SHARE * max_idle_ms
                and idle_ms < safe_idle_ms
                and server.open <= max(server.peak_in_use, server.previous_peak_in_use)
                and now < oldest.expires_at
                and oldest.idle_since >= server.suspected_before
            ):
                return oldest
            candidates: Iterable[ConnectionRecord] = reversed(server.idle)
        elif order == "oldest":
            candidates = sorted(server.idle, key=lambda record: record.opened_at)
        else:
            candidates = sorted(server.idle, key=lambda record: record.uses)
        for record in candidates:
            if is_resting(now, record):
                continue
            if now >= record.expires_at:
                self.inventory.retire(record, "age")
                return self.pick(now, server, repeatable)
            if now - record.idle_since >= safe_idle_ms:
                if order == "last_used":
                    return None  # all remaining candidates have been idle for longer
                continue
            record.suspected = record.idle_since < server.suspected_before
            if record.suspected:
                if not repeatable or server.probing_suspect:
                    continue
                server.probing_suspect = True
            return record
        return None

    def reuse_delay_left_ms(self, now: float, server: ServerConnections, wait_ms: float) -> float:
        """Return the ms until a server's last used connection may be reused, 0 if that is not worth waiting for.

        Opening a connection costs the server work and takes longer than the delay, and the waiting connection should
        not be closed to make way for a new one. If requests often wait for the delay, one more connection is opened,
        and then one is there whose delay is over. ``wait_ms`` is how long a request may wait for a connection.
        """
        left = REUSE_DELAY_MS - (now - server.idle[-1].idle_since) if server.idle and server.idle[-1].uses else 0.0
        often = server.rest_waits >= MAX_REUSE_WAITS and server.open + 1 <= server.bound
        return max(1.0, left) if 0.0 < left and wait_ms > REUSE_DELAY_MS and not often else 0.0


def is_resting(now: float, record: ConnectionRecord) -> bool:
    """Return whether a second copy of a connection's last answer may still come."""
    return record.uses > 0 and now - record.idle_since < REUSE_DELAY_MS
