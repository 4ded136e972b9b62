"""Length-prefixed frames over TCP connections."""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections.abc import Callable

from petrelhall.net.loop import Loop
from petrelhall.net.stream import Address, Stream, bind_socket
from petrelhall.net.stream import connect as connect_stream

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 4 << 20
FRAMES_PER_TURN = 16  # of one connection, passed on in one turn of the loop
MAX_UNSENT_BYTES = 16 << 20  # beyond this, the peer is taken to have stopped reading
LISTEN_BACKLOG = 1024


class FrameConnection:
    """A connection that sends and receives frames.

    It closes its socket in a later turn of the loop, since a handler may not close another handler's descriptor.
    """

    def __init__(
        self,
        loop: Loop,
        on_frame: Callable[[bytes], None],
        on_close: Callable[[], None],
        on_open: Callable[[], None] | None = None,
    ) -> None:
        self.loop, self.on_frame, self.on_close, self.on_open = loop, on_frame, on_close, on_open
        self.stream: Stream | None = None
        self.buffer = bytearray()
        self.closed = False
        self.turn, self.frames_left = loop.turns, FRAMES_PER_TURN
        self.deferred = False  # the rest of the buffer is read in the next turn of the loop

    def send(self, content: bytes) -> None:
        """Send a frame; frames that cannot be sent are lost with the connection."""
        if self.closed or self.stream is None or self.stream.ended:
            return
        self.stream.write(HEADER.pack(len(content)) + content)
        if len(self.stream.outgoing) > MAX_UNSENT_BYTES:
            self.stream.end(errno.ENOBUFS)
            self.loop.after(0.0, self.on_change)

    def on_change(self) -> None:
        """React to a change of the stream: opened, data received or ended."""
        stream = self.stream
        if self.closed or stream is None:
            return
        if self.on_open is not None and not stream.connecting and not stream.ended:
            on_open, self.on_open = self.on_open, None
            on_open()
        if self.deferred:
            return
        if stream.incoming:
            self.buffer += stream.take()
            self.read_frames(stream)
        if stream.ended and not self.closed and not self.deferred:
            self.close()
            self.on_close()

    def resume_reading(self) -> None:
        """Go on reading in a later turn."""
        self.deferred = False
        if not self.closed and self.stream is not None:
            self.read_frames(self.stream)
            self.on_change()

    def read_frames(self, stream: Stream) -> None:
        """Pass the complete frames in the buffer to ``on_frame``: FRAMES_PER_TURN now, the others in later turns."""
        if self.turn != self.loop.turns:
            self.turn, self.frames_left = self.loop.turns, FRAMES_PER_TURN
        start = 0
        while len(self.buffer) - start >= HEADER.size and not self.closed:
            if not self.frames_left:
                self.deferred = True
                self.loop.after(0.0, self.resume_reading)
                break
            self.frames_left -= 1
            (size,) = HEADER.unpack_from(self.buffer, start)
            if size > MAX_FRAME_BYTES:
                stream.end(errno.EPROTO)
                break
            if len(self.buffer) - start < HEADER.size + size:
                break
            content = bytes(self.buffer[start + HEADER.size : start + HEADER.size + size])
            start += HEADER.size + size
            self.on_frame(content)
        del self.buffer[:start]

    def close(self) -> None:
        """Close the connection; ``on_close`` is not called for a close by the owner."""
        if not self.closed:
            self.closed = True
            if self.stream is not None:
                self.loop.after(0.0, self.stream.close)


def connect(
    loop: Loop,
    address: Address,
    on_frame: Callable[[bytes], None],
    on_close: Callable[[], None],
    on_open: Callable[[], None],
) -> FrameConnection:
    """Start connecting; if that fails immediately, ``on_close`` is called in the next turn of the loop."""
    connection = FrameConnection(loop, on_frame, on_close, on_open)
    stream = connect_stream(loop, address, connection.on_change)
    if isinstance(stream, OSError):
        connection.closed = True
        loop.after(0.0, on_close)
    else:
        connection.stream = stream
    return connection


class FrameListener:
    """Accepts connections, each under a number that is never reused."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_frame: Callable[[int, bytes], None],
        on_close: Callable[[int], None],
    ) -> None:
        self.loop, self.on_frame, self.on_close = loop, on_frame, on_close
        self.connections: dict[int, FrameConnection] = {}
        self.last_number = 0
        self.sock = bind_socket(address)
        self.sock.listen(LISTEN_BACKLOG)
        loop.register(self.sock.fileno(), select.EPOLLIN, self.on_ready)

    @property
    def address(self) -> Address:
        """Return the address that the listener is bound to."""
        host, port = self.sock.getsockname()
        return host, port

    def on_ready(self, mask: int) -> None:
        """Accept one connection; epoll reports the listener again if there are more."""
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_number += 1
        number = self.last_number
        connection = FrameConnection(
            self.loop, lambda content: self.on_frame(number, content), lambda: self.on_connection_closed(number)
        )
        connection.stream = Stream(self.loop, sock, connection.on_change)
        self.connections[number] = connection

    def on_connection_closed(self, number: int) -> None:
        """Remove a connection that the peer has closed."""
        self.connections.pop(number, None)
        self.on_close(number)

    def send(self, number: int, content: bytes) -> None:
        """Send a frame on a connection, if it still exists."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.send(content)
