"""Non-blocking TCP streams: received bytes, bytes still to be sent, and whether the connection has ended."""

from __future__ import annotations

import errno
import fcntl
import select
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable

from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.memory import MIN_SHARE_BYTES, MemoryBudget

READ_CHUNK_BYTES = 65536
MAX_UNREAD_BYTES = 98304  # buffered for a busy reader by default; the kernel holds the rest
MAX_DROPPED_BYTES = 8 << 20  # excess bytes dropped during a request before the connection is ended
HANGUP_EVENTS = select.EPOLLHUP | select.EPOLLERR
POLL_MAX_AGE_MS = 20.0  # older results of epoll are checked again before an attempt is begun
DISCARD_BUFFER = bytearray(1 << 20)  # argument for MSG_TRUNC: the kernel drops the bytes and writes nothing here
READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP
MAX_ARRIVALS = 64  # reads whose times are kept, of a stream with ``record_arrivals``

KERNEL_BYTES = struct.Struct("i")  # the result of the ioctls TIOCOUTQ and FIONREAD
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SOCKET_FLAGS = socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC

CLOSED = MemoryBudget(0.0)  # where closed streams count what they hold, which nobody reads

Address = tuple[str, int]


class Stream:
    """A TCP connection. ``notify`` is called whenever its state has changed."""

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
        "discarding",
        "received",
        "max_unread",
        "end_on_peer_close",
        "drop_excess",
        "dropped_bytes",
        "registered_at",
        "queued_since",
        "earliest_arrival_at",
        "arrivals",
        "memory",
        "parser_bytes",
        "body_bytes",
        "counted_bytes",
        "low_water_bytes",
    )

    def __init__(self, loop: Loop, sock: socket.socket, notify: Callable[[], object], connecting: bool = False) -> None:
        self.loop, self.sock, self.fd, self.notify = loop, sock, sock.fileno(), notify
        self.connecting, self.ended, self.error = connecting, False, 0
        self.incoming, self.outgoing, self.discarding = bytearray(), bytearray(), False
        # Bytes received that the protocol's parser holds, and those of a message's body that its owner holds.
        self.parser_bytes = self.body_bytes = 0
        self.memory, self.counted_bytes = loop.memory, 0  # the bytes of this stream that are counted there
        self.low_water_bytes = 1  # reported as readable only when the kernel holds so many
        self.received = 0  # total bytes received
        self.max_unread = MAX_UNREAD_BYTES
        self.end_on_peer_close = False  # end when the peer closes, even before unread data
        # Read and drop bytes beyond ``max_unread``: otherwise a close behind them would not be noticed.
        self.drop_excess = False
        self.dropped_bytes = 0  # excess bytes dropped
        self.registered_at = now_ms()
        self.queued_since = self.registered_at  # it reached the listener no earlier than this (Unix ms)
        self.earliest_arrival_at = self.registered_at  # the bytes last read arrived no earlier than this (Unix ms)
        self.arrivals: deque[tuple[int, float]] | None = None  # bytes received by a read, and their earliest arrival
        self.mask = select.EPOLLOUT if connecting else READ_EVENTS
        loop.register(self.fd, self.mask, self.on_ready)

    def on_ready(self, mask: int) -> None:
        """Receive and send what is possible, and notify the owner."""
        self.handle_ready(mask)
        self.notify()

    def poll(self) -> None:
        """Poll this socket now and receive what has arrived; the only way to read outside of ``on_ready``.

        A stream registered in this turn has not been polled yet. If it were read without polling, the data of a peer
        that has already closed would look like that of a peer that waits for a response.
        """
        if not self.ended and not self.connecting:
            mask = self.ready_now(self.mask & ~select.EPOLLOUT)
            if mask:
                self.handle_ready(mask)

    def ready_now(self, mask: int) -> int:
        """Return which of these events the socket is ready for now (epoll and poll share the event bits)."""
        poller = select.poll()
        poller.register(self.fd, mask)
        ready = poller.poll(0)
        return ready[0][1] if ready else 0

    def handle_ready(self, mask: int) -> None:
        """Receive and send what is possible."""
        if self.connecting:
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.end(error)
            else:
                self.connecting = False
                self.flush()
                self.count_held()
        else:
            if mask & select.EPOLLOUT:
                self.flush()
                self.count_held()
            if mask & select.EPOLLRDHUP and self.end_on_peer_close:
                self.end(0)  # nobody needs the data before the close any more
            elif mask & HANGUP_EVENTS and self.is_full():
                # Hangups are reported whatever the mask: left registered, it would busy-loop until the reader reads.
                self.end(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.ECONNRESET)
            elif mask & ~select.EPOLLOUT:
                self.receive()

    def receive(self) -> None:
        """Read once; the caller has polled whether the peer has closed (``handle_ready``)."""
        full = bool(self.incoming) and self.is_full()
        if self.ended or self.connecting or (full and not self.drop_excess):
            return self.watch()
        try:
            if self.discarding or full:
                dropped = self.sock.recv_into(DISCARD_BUFFER, 0, socket.MSG_TRUNC)
                self.received += dropped
                self.dropped_bytes += dropped * full
                if not dropped or self.dropped_bytes > MAX_DROPPED_BYTES:
                    self.end(0)
                return
            if self.low_water_bytes > 1:
                self.wait_for(1)  # or what is left after this read might be too little to be reported
            limit = self.max_unread
            if self.memory.held_bytes > self.memory.ample_bytes:
                limit = min(limit, self.memory.share_bytes)
            # One byte more than may be unread, so that a full buffer can be told from one that is exactly used up.
            size = limit + 1 - len(self.incoming)
            data = self.sock.recv(size if size < READ_CHUNK_BYTES else READ_CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            return self.end(error.errno or errno.EIO)
        if not data:
            return self.end(0)
        size = len(data)
        self.received += size
        self.incoming += data
        self.counted_bytes += size
        self.memory.held_bytes += size
        # Data received with or before the registration may have waited for as long as the connection itself.
        new = self.registered_at >= self.loop.previous_poll_at
        self.earliest_arrival_at = self.queued_since if new else self.loop.earliest_ready_at
        if self.arrivals is not None:
            self.arrivals.append((self.received, self.earliest_arrival_at))
        if len(self.incoming) > size or size > MIN_SHARE_BYTES or size > self.max_unread:
            self.watch()

    def is_full(self) -> bool:
        """Return whether as much is unread as may be, which the rest of the process's memory also limits."""
        unread = len(self.incoming)
        return unread > self.max_unread or (unread > MIN_SHARE_BYTES and unread > self.memory.share_bytes)

    def wait_for(self, size: int) -> None:
        """Leave input in the kernel until it holds so many bytes, or as many as it can; a close is still noticed."""
        self.low_water_bytes = size
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)
        except OSError:
            pass  # already disconnected, or not supported: it is read as it comes

    def arrived_bytes(self) -> int:
        """Return the bytes that have arrived, with those that wait in the kernel for more to come."""
        if self.low_water_bytes == 1 or self.ended:
            return self.received
        try:
            waiting = fcntl.ioctl(self.fd, termios.FIONREAD, bytes(KERNEL_BYTES.size))
        except OSError:
            return self.received
        return self.received + int(KERNEL_BYTES.unpack(waiting)[0])

    def hold_unparsed(self, size: int) -> None:
        """Count what the protocol's parser holds of this stream's bytes."""
        if size != self.parser_bytes:
            self.parser_bytes = size
            self.count_held()

    def hold_body(self, size: int) -> None:
        """Count what the owner of a message holds of its body, or will hold; less than is counted changes nothing."""
        if size > self.body_bytes:
            self.body_bytes = size
            self.count_held()

    def release_body(self) -> None:
        """Count nothing more for the body of a message."""
        if self.body_bytes:
            self.body_bytes = 0
            if self.counted_bytes:
                self.count_held()

    def count_held(self) -> None:
        """Bring the memory budget up to date."""
        held = len(self.incoming) + len(self.outgoing) + self.parser_bytes + self.body_bytes
        if held != self.counted_bytes:
            self.memory.held_bytes += held - self.counted_bytes
            self.counted_bytes = held

    def record_arrivals(self) -> None:
        """Keep the times of reads, for ``earliest_arrival_of``."""
        self.arrivals = deque(maxlen=MAX_ARRIVALS)

    def earliest_arrival_of(self, end: int) -> float:
        """Return the time (Unix ms) before which the first ``end`` bytes of the connection were not all here.

        Later calls ask for later bytes.
        """
        arrivals = self.arrivals
        if not arrivals:
            return self.earliest_arrival_at
        while len(arrivals) > 1 and arrivals[0][0] < end:
            arrivals.popleft()
        return arrivals[0][1]

    def take(self, max_bytes: int | None = None) -> bytes:
        """Return and remove the bytes received and not yet read, or the first of them."""
        data = bytes(memoryview(self.incoming)[:max_bytes])  # a slice of the buffer itself would be copied twice
        del self.incoming[:max_bytes]
        self.counted_bytes -= len(data)
        self.memory.held_bytes -= len(data)
        self.watch()
        return data

    def put_back(self, data: bytes) -> None:
        """Return bytes that were taken and are not complete yet; they are read again with what follows."""
        self.incoming[:0] = data
        self.count_held()

    def discard(self) -> None:
        """Drop all further input in the kernel, without copying it: bodies can be 60 MB."""
        self.discarding = True
        if self.low_water_bytes > 1:
            self.wait_for(1)
        self.take()

    def write(self, data: bytes) -> None:
        """Send as much as possible now and buffer the rest."""
        if not self.ended:
            had_unsent = bool(self.outgoing)
            self.outgoing += data
            if not self.connecting:
                self.flush()
            if self.outgoing or had_unsent:
                self.count_held()

    def limit_send_buffer(self, size: int) -> None:
        """Limit how much the kernel holds to be sent, which otherwise grows to some MB."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        except OSError:
            pass  # already disconnected

    def flush(self) -> None:
        """Send the buffered bytes."""
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
        """Update the events that the loop watches this socket for."""
        if self.ended:
            return
        paused = bool(self.incoming) and not self.drop_excess and self.is_full()
        mask = select.EPOLLRDHUP * self.end_on_peer_close if paused else READ_EVENTS
        mask |= select.EPOLLOUT if self.outgoing or self.connecting else 0
        if mask != self.mask:
            self.mask = mask
            self.loop.modify(self.fd, mask)

    def end(self, error: int) -> None:
        """Mark the connection as ended and unregister it, as its descriptor would be reported ready forever."""
        self.ended, self.error = True, error
        self.loop.unregister(self.fd)

    def is_open_and_quiet(self) -> bool:
        """Return whether the peer has neither closed nor sent anything; asks the socket, since epoll may lag."""
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
        """Return whether the peer has closed, even if unread data lies before the close.

        The socket itself is polled only if the last poll of the loop is older than POLL_MAX_AGE_MS.
        """
        if not self.ended and now_ms() - self.loop.polled_at > POLL_MAX_AGE_MS:
            if self.ready_now(select.EPOLLRDHUP):
                self.end(0)
        return self.ended

    def finish_sending(self) -> None:
        """Shut down the sending side."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # already disconnected

    def abort(self) -> None:
        """Reset the connection, so that the peer does not take truncated data for complete."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # already disconnected
        self.close()

    def has_undelivered_bytes(self) -> bool:
        """Return whether some of the bytes written here may not have reached the peer's machine yet.

        The kernel counts what the peer has not acknowledged. Where it does not tell, only the bytes that are buffered
        here count.
        """
        if self.outgoing:
            return True
        if self.sock.fileno() < 0:
            return False
        try:
            unacknowledged = fcntl.ioctl(self.fd, termios.TIOCOUTQ, bytes(KERNEL_BYTES.size))
        except OSError:
            return False
        return bool(KERNEL_BYTES.unpack(unacknowledged)[0])

    def give_up(self) -> None:
        """Close so that nothing more reaches the peer: a plain close still delivers what the kernel holds."""
        if self.has_undelivered_bytes():
            self.abort()
        else:
            self.close()

    def close(self) -> None:
        """Close immediately and drop the bytes buffered here."""
        self.ended = True
        self.loop.unregister(self.fd)
        self.sock.close()
        self.memory.held_bytes -= self.counted_bytes
        self.memory, self.counted_bytes = CLOSED, 0


def connect(loop: Loop, address: Address, notify: Callable[[], object]) -> Stream | OSError:
    """Start connecting; an immediate failure is returned as a value."""
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
    """Return a socket bound to an address that another process of this gateway may also hold (OSError).

    SO_REUSEPORT: during an upgrade the new process listens on the address of the old one, and the kernel
    distributes new connections and datagrams over both; without it the new process cannot start.
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
    """Return whether another process listens on an address, which SO_REUSEPORT would let us share unnoticed."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM | SOCKET_FLAGS) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # ignore connections left by an ended process
        try:
            sock.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False


def parse_address(text: str) -> Address:
    """Parse host:port (ValueError)."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"invalid address, expected host:port: {text!r}")
    return host, int(port)
