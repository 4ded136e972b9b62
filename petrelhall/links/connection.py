"""One connection to a server, the states it goes through, and how an attempt to get one may end. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from petrelhall.links.limits import NEVER

if TYPE_CHECKING:
    from petrelhall.links.server import ServerConnections


class ConnectionState(Enum):
    """Where a connection is in its life."""

    OPENING = "opening"
    BUSY = "busy"
    IDLE = "idle"
    CLOSED = "closed"


class ConnectFailure(Enum):
    """How an attempt to connect ended that brought no connection."""

    REFUSED = "refused"  # nobody listens, or the box holds as many as it wants
    RESET = "reset"  # someone took it and ended it
    SILENT = "silent"  # it did not come up in its time
    OURS = "ours"  # this machine has no descriptor, or no room
    LEFT = "left"  # given up, which tells nothing of the box


class Unavailable(Enum):
    """Why a request gets no connection at all."""

    UNLISTED = "not in the list"


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing may be opened now: ask again after so many ms, or when a connection of the box comes free."""

    ms: float
    cause: str


class ConnectionRecord:
    """One connection to a box."""

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
        self.idle_since = 0.0  # when it was last put away
        self.idle_ms = -1.0  # how long it had lain idle when it was last taken; below 0: it never had
        self.uses = 0
        self.expires_at, self.max_uses = NEVER, 0  # when, and after how many uses (0: any number), it is retired
        self.suspected = False  # it was in doubt when it was taken
        self.owner_data: Any = None  # the shell's own; nothing here looks at it
