"""The network between the processes of a run: an address on loopback for each region, delays and cuts between regions.

All sockets are real, and so are the shells on them. What crosses the border of a region is delayed, or dropped while
the region is cut off, by this process, which knows the other side's region by its address in 127.0.0.0/8.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from petrelhall.net import frames
from petrelhall.net.loop import Loop
from petrelhall.net.stream import SOCKET_FLAGS, Address, Stream

OPERATOR_HOST = "127.0.0.1"  # in no region: never cut off


def region_host(region: int) -> str:
    """Give the address of a region."""
    return f"127.0.1.{region + 1}"


@dataclass(slots=True)
class Traffic:
    """What one process sent and took in, in frames or datagrams."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: int = 0  # by a cut
    connections: int = 0  # begun by this process


class Network:
    """One process's view of the network."""

    def __init__(self, loop: Loop, host: str, delay_ms: float) -> None:
        self.loop, self.host, self.delay_ms = loop, host, delay_ms
        self.cut = False  # whether this process's region is cut off from all others
        self.traffic = Traffic()

    def is_cut_from(self, host: str) -> bool:
        """Tell whether nothing passes between this process and an address now."""
        return self.cut and host != self.host

    def send(self, host: str, size: int, deliver: Callable[[], object]) -> None:
        """Send something to an address: at once within a region, after the delay else, never while cut off."""
        self.traffic.messages_out += 1
        self.traffic.bytes_out += size
        if self.is_cut_from(host):
            self.traffic.dropped += 1
        elif self.delay_ms and host != self.host:
            self.loop.after(self.delay_ms, deliver)
        else:
            deliver()

    def receive(self, host: str, size: int) -> bool:
        """Count something that came from an address; False while nothing may come from there."""
        if self.is_cut_from(host):
            self.traffic.dropped += 1
            return False
        self.traffic.messages_in += 1
        self.traffic.bytes_in += size
        return True


class NetworkConnection(frames.FrameConnection):
    """A connection whose frames pass through the network of this process."""

    network: ClassVar[Network]

    def __init__(
        self,
        loop: Loop,
        on_frame: Callable[[bytes], None],
        on_close: Callable[[], None],
        on_open: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(loop, self.take, on_close, None if on_open is None else self.opened)
        self.take_frame, self.tell_open = on_frame, on_open
        self.peer_host = ""

    def host(self) -> str:
        """Give the address of the other side."""
        if not self.peer_host and self.stream is not None:
            self.peer_host = self.stream.sock.getpeername()[0]
        return self.peer_host

    def opened(self) -> None:
        """Hear that the connection is there, unless nothing could come of it."""
        if self.tell_open is not None and not self.network.is_cut_from(self.host()):
            self.tell_open()

    def take(self, content: bytes) -> None:
        """Take a frame in."""
        if self.network.receive(self.host(), frames.HEADER.size + len(content)):
            self.take_frame(content)

    def send(self, content: bytes) -> None:
        """Send a frame."""
        if not self.closed and self.stream is not None and not self.stream.ended:
            try:
                host = self.host()
            except OSError:  # the other side has gone, which is told soon
                return
            self.network.send(host, frames.HEADER.size + len(content), partial(super().send, content))


def install(network: Network) -> None:
    """Have all frames of this process pass through a network, whichever shell sends them."""
    NetworkConnection.network = network
    vars(frames).update(FrameConnection=NetworkConnection, connect_stream=partial(connect_from, network))


def connect_from(network: Network, loop: Loop, address: Address, notify: Callable[[], object]) -> Stream | OSError:
    """Begin to connect, as ``net.stream.connect`` does, from the address of this process's region."""
    network.traffic.connections += 1
    connection = getattr(notify, "__self__", None)
    if isinstance(connection, NetworkConnection):
        connection.peer_host = address[0]
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | SOCKET_FLAGS)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind((network.host, 0))
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, "cannot connect")
        return Stream(loop, sock, notify, connecting=True)
    except OSError as error:
        sock.close()
        return error
