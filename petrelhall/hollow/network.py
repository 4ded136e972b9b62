"""The network between the processes of a run: an address on loopback for each region, delays and cuts between regions.

All sockets are real. What crosses the border of a region is delayed, or dropped while the region is cut off, at the end
that the other side's address shows; which is why each region has an address of its own in 127.0.0.0/8.
"""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from petrelhall.net.loop import Loop
from petrelhall.net.stream import NEW_SOCKET, Address, Stream

HEADER = struct.Struct(">I")
MOST_FRAME_BYTES = 8 << 20
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


class Network:
    """One process's view of the network."""

    def __init__(self, loop: Loop, host: str, delay_ms: float) -> None:
        self.loop, self.host, self.delay_ms = loop, host, delay_ms
        self.cut = False  # whether this process's region is cut off from all others
        self.traffic = Traffic()

    def is_cut_from(self, host: str) -> bool:
        """Tell whether nothing passes between this process and an address now."""
        return self.cut and host != self.host

    def deliver(self, host: str, send: Callable[[], object]) -> None:
        """Send something to an address: at once within a region, after the delay else, never while cut off."""
        if self.is_cut_from(host):
            self.traffic.dropped += 1
        elif self.delay_ms and host != self.host:
            self.loop.after(self.delay_ms, send)
        else:
            send()

    def sent(self, size: int) -> None:
        """Count something that is sent."""
        self.traffic.messages_out += 1
        self.traffic.bytes_out += size

    def received(self, size: int) -> None:
        """Count something that came."""
        self.traffic.messages_in += 1
        self.traffic.bytes_in += size


class FrameConnection:
    """Frames of bytes, each behind its length, on one TCP connection."""

    def __init__(
        self,
        network: Network,
        sock: socket.socket,
        peer_host: str,
        on_frame: Callable[[FrameConnection, bytes], None],
        on_open: Callable[[FrameConnection], None] | None,
        on_close: Callable[[FrameConnection], None],
    ) -> None:
        self.network, self.peer_host = network, peer_host
        self.on_frame, self.on_open, self.on_close = on_frame, on_open, on_close
        self.closed = False
        self.buffer = bytearray()
        self.stream = Stream(network.loop, sock, self.on_change, connecting=on_open is not None)

    def send(self, content: bytes) -> None:
        """Send a frame."""
        if not self.closed:
            self.network.sent(HEADER.size + len(content))
            self.network.deliver(self.peer_host, lambda: self.write(content))

    def write(self, content: bytes) -> None:
        """Write a frame, where the connection is still there."""
        if not self.closed and not self.stream.ended:
            self.stream.write(HEADER.pack(len(content)) + content)

    def on_change(self) -> None:
        """Look what has become of the connection."""
        if self.closed:
            return
        if self.on_open is not None and not self.stream.connecting and not self.stream.ended:
            on_open, self.on_open = self.on_open, None
            if not self.network.is_cut_from(self.peer_host):
                on_open(self)
        if self.stream.incoming:
            self.buffer += self.stream.take()
            self.read_frames()
        if self.stream.ended and not self.closed:
            self.close()
            self.on_close(self)

    def read_frames(self) -> None:
        """Pass on all frames that are whole."""
        while len(self.buffer) >= HEADER.size and not self.closed:
            (size,) = HEADER.unpack_from(self.buffer)
            if size > MOST_FRAME_BYTES:
                self.stream.end(errno.EPROTO)
                return
            if len(self.buffer) < HEADER.size + size:
                return
            content = bytes(self.buffer[HEADER.size : HEADER.size + size])
            del self.buffer[: HEADER.size + size]
            if self.network.is_cut_from(self.peer_host):
                self.network.traffic.dropped += 1
                continue
            self.network.received(HEADER.size + size)
            self.on_frame(self, content)

    def close(self) -> None:
        """Close the connection, in a turn of its own: no handler may close another's descriptor."""
        if not self.closed:
            self.closed = True
            self.network.loop.after(0.0, self.stream.close)


def connect(
    network: Network,
    address: Address,
    on_frame: Callable[[FrameConnection, bytes], None],
    on_open: Callable[[FrameConnection], None],
    on_close: Callable[[FrameConnection], None],
) -> FrameConnection:
    """Begin to connect from this process's address (OSError where that fails at once)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | NEW_SOCKET)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind((network.host, 0))
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, "cannot connect")
    except OSError:
        sock.close()
        raise
    return FrameConnection(network, sock, address[0], on_frame, on_open, on_close)


class FrameListener:
    """Takes connections on a socket that listens already."""

    def __init__(
        self,
        network: Network,
        sock: socket.socket,
        on_frame: Callable[[int, bytes], None],
        on_close: Callable[[int], None],
    ) -> None:
        self.network, self.sock, self.on_frame, self.on_close = network, sock, on_frame, on_close
        self.connections: dict[int, FrameConnection] = {}
        self.last = 0
        sock.setblocking(False)
        network.loop.register(sock.fileno(), select.EPOLLIN, self.on_ready)

    def on_ready(self, mask: int) -> None:
        """Take one connection; epoll tells again if there are more."""
        try:
            sock, address = self.sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last += 1
        number = self.last

        def take_frame(connection: FrameConnection, content: bytes) -> None:
            self.on_frame(number, content)

        def forget(connection: FrameConnection) -> None:
            del self.connections[number]
            self.on_close(number)

        self.connections[number] = FrameConnection(self.network, sock, address[0], take_frame, None, forget)

    def send(self, number: int, content: bytes) -> None:
        """Send a frame on a connection that may be gone."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.send(content)
