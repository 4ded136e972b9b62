"""The connection on which a learner's core follows another process, as its actions say."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from petrelhall.distribution.learner import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    SendWatch,
    UpdateReceived,
)
from petrelhall.distribution.messages import MessageError, Update, decode, encode
from petrelhall.net.frames import FrameConnection, connect
from petrelhall.net.loop import Loop
from petrelhall.net.stream import Address

LinkEvent = Connected | Disconnected | UpdateReceived
LinkAction = Connect | Disconnect | SendWatch


class Upstream:
    """Connections by the name that the core gave them; at most one is in use."""

    def __init__(
        self,
        loop: Loop,
        addresses: Sequence[Address],
        tell: Callable[[LinkEvent], None],
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.addresses, self.tell, self.log = loop, addresses, tell, log
        self.connections: dict[int, FrameConnection] = {}

    def carry_out(self, action: LinkAction) -> None:
        """Do as the core says."""
        if isinstance(action, Connect):
            self.connect(action.link, self.addresses[action.distributor])
        elif isinstance(action, Disconnect):
            connection = self.connections.pop(action.link, None)
            if connection is not None:
                connection.close()
        elif action.link in self.connections:
            self.connections[action.link].send(encode(action.watch))

    def connect(self, link: int, address: Address) -> None:
        """Connect."""
        self.connections[link] = connect(
            self.loop,
            address,
            lambda content: self.received(link, content),
            lambda: self.closed(link),
            lambda: self.tell(Connected(link)),
        )

    def closed(self, link: int) -> None:
        """Tell that a connection is gone."""
        if self.connections.pop(link, None) is not None:
            self.tell(Disconnected(link))

    def received(self, link: int, content: bytes) -> None:
        """Take an answer in; a connection on which something else comes is of no use."""
        try:
            message = decode(content)
        except MessageError as error:
            self.log(f"distribution: {type(error).__name__}: {error}")
            message = None
        if isinstance(message, Update):
            self.tell(UpdateReceived(link, message))
            return
        connection = self.connections.get(link)
        if connection is not None:
            connection.close()
            self.closed(link)

    def end(self) -> None:
        """Close all."""
        connections, self.connections = self.connections, {}
        for connection in connections.values():
            connection.close()
