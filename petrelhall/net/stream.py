"""Bytes over TCP without blocking: what has come in, what is still to go out, and whether it is over."""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections.abc import Callable

from petrelhall.net.loop import Loop, now_ms

CHUNK = 65536
MAX_UNREAD_BYTES = 98304  # bytes kept for a reader that is busy, unless it says otherwise; the kernel holds the rest
MOST_FLOOD = 8 << 20  # bytes dropped behind a request in hand after which its sender has ended the connection
GONE = select.EPOLLHUP | select.EPOLLERR
LATE_MS = 20.0  # after which what epoll told in this turn is too old to begin an attempt on
SINK = bytearray(1 << 20)  # where what nobody wants would go: the kernel drops it and writes nothing here
IN = select.EPOLLIN | select.EPOLLRDHUP

RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SOCKET_FLAGS = socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC

Address = tuple[str, int]


class Stream:
    """One connection. ``notify`` is called whenever something about it has changed."""

    __slots__ = (
        "loop",
        "sock",
        "fd",
        "notify",
        "connecting",
        "ended",
        "error",
        "incoming",
        "outgoing",
        "mask",
        "unwanted",
        "received",
        "max_unread",
        "end_on_peer_close",
        "drop_excess",
        "dropped_bytes",
        "registered_at",
        "queued_since",
        "earliest_arrival_at",
    )

    def __init__(self, loop: Loop, sock: socket.socket, notify: Callable[[], object], connecting: bool = False) -> None:
        self.loop, self.sock, self.fd, self.notify = loop, sock, sock.fileno(), notify
        self.connecting, self.ended, self.error = connecting, False, 0
        self.incoming, self.outgoing, self.unwanted = bytearray(), bytearray(), False
        self.received = 0  # bytes taken in, all told
        self.max_unread = MAX_UNREAD_BYTES
        self.end_on_peer_close = False  # whether its close ends it at once, whatever lies unread before it
        self.drop_excess = (
            False  # whether what comes beyond what is kept is dropped: behind it, no close could be heard
        )
        self.dropped_bytes = 0  # bytes dropped so
        self.registered_at = now_ms()
        self.queued_since = self.registered_at  # before this time it had not come to the listener (Unix ms)
        self.earliest_arrival_at = self.registered_at  # before this time the bytes last taken in had not come (Unix ms)
        self.mask = select.EPOLLOUT if connecting else IN
        loop.register(self.fd, self.mask, self.on_ready)

    def on_ready(self, mask: int) -> None:
        """Take in and send what can be, and tell the owner."""
        self.handle_ready(mask)
        self.notify()

    def poll(self) -> None:
        """Ask the kernel now, and take in what has come: the only way to read outside of ``on_ready``.

        A stream that was registered in this turn has not been asked about yet. Read without asking, the bytes of a
        peer that has closed would pass for those of one that waits.
        """
        if not self.ended and not self.connecting:
            mask = self.ready_now(self.mask & ~select.EPOLLOUT)
            if mask:
                self.handle_ready(mask)

    def ready_now(self, mask: int) -> int:
        """Give which of these events (epoll's and poll's are the same) the socket is ready for at this moment."""
        look = select.poll()
        look.register(self.fd, mask)
        ready = look.poll(0)
        return ready[0][1] if ready else 0

    def handle_ready(self, mask: int) -> None:
        """Take in and send what can be."""
        if self.connecting:
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.end(error)
            else:
                self.connecting = False
                self.flush()
        else:
            if mask & select.EPOLLOUT:
                self.flush()
            if mask & select.EPOLLRDHUP and self.end_on_peer_close:
                self.end(0)  # what it said before, nobody waits for
            elif mask & GONE and len(self.incoming) > self.max_unread:
                # Told whether it is watched for or not: left so, the loop would do nothing else until it is read.
                self.end(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.ECONNRESET)
            elif mask & ~select.EPOLLOUT:
                self.receive()

    def receive(self) -> None:
        """Read what has come, once; the kernel was asked before whether the peer has closed (``handle_ready``)."""
        full = len(self.incoming) > self.max_unread
        if self.ended or self.connecting or (full and not self.drop_excess):
            return self.watch()
        try:
            if self.unwanted or full:
                dropped = self.sock.recv_into(SINK, 0, socket.MSG_TRUNC)
                self.received += dropped
                self.dropped_bytes += dropped * full
                if not dropped or self.dropped_bytes > MOST_FLOOD:
                    self.end(0)
                return
            data = self.sock.recv(min(CHUNK, self.max_unread))
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            return self.end(error.errno or errno.EIO)
        if not data:
            return self.end(0)
        self.received += len(data)
        self.incoming += data
        # What came with a connection or before it was registered has waited for as long as the connection has.
        new = self.registered_at >= self.loop.previous_poll_at
        self.earliest_arrival_at = self.queued_since if new else self.loop.earliest_ready_at
        if len(self.incoming) > self.max_unread:
            self.watch()

    def take(self) -> bytes:
        """Give all bytes that have come and were not taken yet."""
        data = bytes(self.incoming)
        self.incoming.clear()
        self.watch()
        return data

    def discard(self) -> None:
        """Let all that comes from now on be dropped in the kernel: a body of 60 MB is not worth a copy."""
        self.unwanted = True
        self.take()

    def write(self, data: bytes) -> None:
        """Send as much as goes at once and keep the rest for later."""
        if not self.ended:
            self.outgoing += data
            if not self.connecting:
                self.flush()

    def flush(self) -> None:
        """Send what waits."""
        while self.outgoing and not self.ended:
            try:
                sent = self.sock.send(self.outgoing)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                return self.end(error.errno or errno.EIO)
            del self.outgoing[:sent]
        self.watch()

    def watch(self) -> None:
        """Watch for what is wanted, and nothing else."""
        if self.ended:
            return
        paused = len(self.incoming) > self.max_unread and not self.drop_excess
        mask = select.EPOLLRDHUP * self.end_on_peer_close if paused else IN
        mask |= select.EPOLLOUT if self.outgoing or self.connecting else 0
        if mask != self.mask:
            self.mask = mask
            self.loop.modify(self.fd, mask)

    def end(self, error: int) -> None:
        """Note that the other side is gone; a descriptor in that state would be ready without end."""
        self.ended, self.error = True, error
        self.loop.unregister(self.fd)

    def is_open_and_quiet(self) -> bool:
        """Look at the socket itself whether the other side has closed or sent something: epoll may lag."""
        if self.ended or self.incoming:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def is_peer_closed(self) -> bool:
        """Tell whether the other side has closed, as the kernel knows it now, whatever lies unread before the close.

        The socket itself is asked only where a turn of the loop has gone on for long since all sockets were.
        """
        if not self.ended and now_ms() - self.loop.polled_at > LATE_MS:
            if self.ready_now(select.EPOLLRDHUP):
                self.end(0)
        return self.ended

    def finish_sending(self) -> None:
        """Tell the other side that nothing more comes."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # it has gone by itself

    def abort(self) -> None:
        """Reset the connection: the other side must not take what it got for whole."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # it has gone by itself
        self.close()

    def close(self) -> None:
        """Close at once, whatever waits."""
        self.ended = True
        self.loop.unregister(self.fd)
        self.sock.close()


def connect(loop: Loop, address: Address, notify: Callable[[], object]) -> Stream | OSError:
    """Begin to connect; the error, where it fails at once, is a value."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | SOCKET_FLAGS)
    except OSError as error:  # no descriptors left
        return error
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            return OSError(code, "cannot connect")
        return Stream(loop, sock, notify, connecting=True)
    except OSError as error:
        sock.close()
        return error


def bind_socket(address: Address, kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Give a socket bound to an address that another process of this gateway may hold as well (OSError).

    SO_REUSEPORT: during an upgrade the new process listens where the old one still does, and the kernel
    spreads new connections and datagrams over both; without it the new process cannot start at all.
    """
    sock = socket.socket(socket.AF_INET, kind | SOCKET_FLAGS)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def is_address_in_use(address: Address) -> bool:
    """Tell whether another process listens at an address: one that SO_REUSEPORT would let us join unawares."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM | SOCKET_FLAGS) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # connections of one that has ended are no matter
        try:
            sock.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False


def parse_address(text: str) -> Address:
    """Read host:port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)
