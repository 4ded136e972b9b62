"""All connections of one gateway: counts, idle connections and connections to close. No I/O."""

from __future__ import annotations

from collections import Counter

from petrelhall.links.connection import ConnectionRecord, ConnectionState
from petrelhall.links.server import ServerConnections


class Inventory:
    """Tracks every connection from the start of connecting until it is closed.

    ``closing`` lists connections to close, with the cause, until the connection pool closes them.
    """

    def __init__(self) -> None:
        self.open = self.opening = 0
        self.idle: dict[ConnectionRecord, None] = {}  # all idle connections, longest idle first
        self.draining: dict[int, ServerConnections] = {}  # no longer listed but with connections in use; keyed by id()
        self.closing: list[tuple[ConnectionRecord, str]] = []
        self.counts: Counter[str] = Counter()

    def retire(self, record: ConnectionRecord, cause: str) -> None:
        """Remove an idle connection and queue it in ``closing``."""
        self.remove_idle(record, cause)
        self.closing.append((record, cause))

    def remove_idle(self, record: ConnectionRecord, cause: str) -> None:
        """Remove an idle connection and count the cause."""
        self.detach_idle(record)
        self.mark_closed(record)
        self.counts["retired." + cause] += 1

    def detach_idle(self, record: ConnectionRecord) -> None:
        """Remove a connection from the idle lists."""
        idle = record.server.idle
        if idle[-1] is record:
            idle.pop()
        elif idle[0] is record:
            del idle[0]
        else:
            idle.remove(record)
        del self.idle[record]

    def mark_closed(self, record: ConnectionRecord) -> None:
        """Mark a connection as closed and update the totals."""
        record.state = ConnectionState.CLOSED
        self.open -= 1
        if not record.server.listed and not record.server.open:
            self.draining.pop(id(record.server), None)
