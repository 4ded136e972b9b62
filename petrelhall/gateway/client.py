"""One client's connection: whether a request is in flight, and how much time its next request has to come."""

from __future__ import annotations

from collections.abc import Callable

from petrelhall.http.h1 import HttpRequest, HttpServerConnection
from petrelhall.net.loop import now_ms
from petrelhall.net.stream import MAX_UNREAD_BYTES, READ_CHUNK_BYTES, Stream

# A first request must be complete within FIRST_REQUEST_TIMEOUT_MS of connecting, however slowly it arrives, and a
# later one within REQUEST_TIMEOUT_MS of its first byte. An idle connection is kept for IDLE_TIMEOUT_MS.
FIRST_REQUEST_TIMEOUT_MS = 2200.0
REQUEST_TIMEOUT_MS = 2200.0
IDLE_TIMEOUT_MS = 8000.0
# Beyond these timeouts, a request gains time for the bytes received. On the operators' test days clients may send a
# body at 64 kB/s after taking 2 s for the head, so each byte gains twice its time at that rate. A slow trickle of
# bytes gains practically nothing.
EXTRA_MS_PER_BYTE = 2 * 1000.0 / 64000.0
STALL_TIMEOUT_MS = 4000.0  # a body must make progress within this time


class Client:
    """One client connection."""

    def __init__(self, stream: Stream, check_head: Callable[[HttpRequest], object]) -> None:
        self.stream, self.http = stream, HttpServerConnection(stream, True, check_head)
        # A request is in flight; any request was answered; the first byte of the next request has arrived.
        self.busy = self.answered = self.request_started = False
        self.evicted = False  # the next answer is the last one: others wait for the descriptor
        self.idle_since = now_ms()  # when it connected, or was last answered
        self.expires_at = self.idle_since + FIRST_REQUEST_TIMEOUT_MS  # closed then, unless a request is complete
        self.bytes_before_request = 0  # bytes received on the stream before the current request
        # Bytes received on the stream when last checked, and the time at which that number last grew.
        self.bytes_seen, self.progress_at = 0, self.idle_since

    def overdue(self) -> bool:
        """Return whether a started request has run out of time: received bytes extend it, a stall ends it."""
        now, received = now_ms(), self.stream.arrived_bytes()
        if received != self.bytes_seen:
            self.bytes_seen, self.progress_at = received, now
        extended = self.expires_at + (received - self.bytes_before_request) * EXTRA_MS_PER_BYTE
        return now >= min(extended, max(self.expires_at, self.progress_at + STALL_TIMEOUT_MS))

    @property
    def gone(self) -> bool:
        """Return whether the client has closed the connection."""
        return self.stream.is_peer_closed()

    def start_request(self, now: float) -> None:
        """Note that the first byte of a request has arrived: the rest of a later one has its own time to follow."""
        self.request_started = True
        if self.answered:
            self.expires_at = now + REQUEST_TIMEOUT_MS

    def begin_request(self) -> None:
        """Watch for a close even behind a flood of unread bytes: the request must not be attempted after it."""
        self.busy = True
        self.stream.max_unread, self.stream.drop_excess = MAX_UNREAD_BYTES, True

    def look_behind_request(self) -> None:
        """Read what came behind the request as far as a close: a flood must not hide that the client has left."""
        received = -1
        while self.stream.incoming and not self.stream.ended and self.stream.received > received:
            received = self.stream.received
            self.stream.poll()

    def end_request(self) -> None:
        """Wait for the next request; what the client sends beyond a read waits in the kernel until then."""
        self.busy, self.answered, self.request_started, self.idle_since = False, True, False, now_ms()
        self.expires_at, self.bytes_before_request = self.idle_since + IDLE_TIMEOUT_MS, self.stream.received
        self.stream.max_unread, self.stream.drop_excess = READ_CHUNK_BYTES, False
