"""State of one connection to a server, and the outcomes of asking for one. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from petrelhall.links.limits import NEVER

if TYPE_CHECKING:
    from petrelhall.links.server import ServerConnections


class ConnectionState(Enum):
    """Lifecycle state of a connection."""

    OPENING = "opening"
    BUSY = "busy"
    IDLE = "idle"
    CLOSED = "closed"


class ConnectFailure(Enum):
    """Why opening a connection failed."""

    REFUSED = "refused"  # nobody listens, or the server is at its connection limit
    RESET = "reset"  # accepted, then reset
    SILENT = "silent"  # not established within the connect timeout
    OURS = "ours"  # local: this machine is out of file descriptors or memory
    LEFT = "left"  # abandoned by the gateway, which says nothing about the server


class Unavailable(Enum):
    """Why no connection can be provided at all."""

    UNLISTED = "not in the list"


@dataclass(frozen=True, slots=True)
class Wait:
    """No connection may be opened now: ask again after ``ms``, or when a connection to the server is released."""

    ms: float
    cause: str


class ConnectionRecord:
    """The plan's record of one connection to a server."""

    __slots__ = (
        "server",
        "state",
        "opened_at",
        "idle_since",
        "idle_ms",
        "uses",
        "preconnected",
        "expires_at",
        "max_uses",
        "suspected",
        "owner_data",
    )

    def __init__(self, server: ServerConnections, now: float, preconnected: bool) -> None:
        self.server, self.state, self.opened_at, self.preconnected = server, ConnectionState.OPENING, now, preconnected
        self.idle_since = 0.0  # when it last became idle
        self.idle_ms = -1.0  # idle time before the current use; negative if it has not been idle
        self.uses = 0
        self.expires_at, self.max_uses = NEVER, 0  # retired at this time or after this many uses (0: unlimited)
        self.suspected = False  # whether it was suspected dead when it was acquired
        self.owner_data: Any = None  # set and read by the connection pool only
