"""All connections of one gateway: how many there are, which are idle, and which are to be closed. Pure."""

from __future__ import annotations

from collections import Counter

from petrelhall.links.connection import ConnectionRecord, ConnectionState
from petrelhall.links.server import ServerConnections


class Inventory:
    """Every connection from the moment that it begins to come up until it is closed.

    ``closing`` holds what is to be closed, with the cause, until the shell takes it.
    """

    def __init__(self) -> None:
        self.open = self.opening = 0
        self.idle: dict[ConnectionRecord, None] = {}  # all idle connections, the longest idle first
        self.draining: dict[
            int, ServerConnections
        ] = {}  # not listed any more, with connections still in use, by identity
        self.closing: list[tuple[ConnectionRecord, str]] = []
        self.counts: Counter[str] = Counter()

    def retire(self, record: ConnectionRecord, cause: str) -> None:
        """Take an idle connection out for good; the shell finds it in ``closing``."""
        self.remove_idle(record, cause)
        self.closing.append((record, cause))

    def remove_idle(self, record: ConnectionRecord, cause: str) -> None:
        """Count an idle connection out, and why."""
        self.detach_idle(record)
        self.mark_closed(record)
        self.counts["retired." + cause] += 1

    def detach_idle(self, record: ConnectionRecord) -> None:
        """Take a connection out of the idle ones."""
        idle = record.server.idle
        if idle[-1] is record:
            idle.pop()
        elif idle[0] is record:
            del idle[0]
        else:
            idle.remove(record)
        del self.idle[record]

    def mark_closed(self, record: ConnectionRecord) -> None:
        """Count a connection out."""
        record.state = ConnectionState.CLOSED
        self.open -= 1
        if not record.server.listed and not record.server.open:
            self.draining.pop(id(record.server), None)
