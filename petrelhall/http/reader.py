"""Reads h11 events from a stream, a limited number in each turn of the event loop.

One thread parses for all connections. What one peer has sent may hold hundreds of requests or thousands of events, so
a connection that has used its share of a turn continues in the next turn, after all others.
"""

from __future__ import annotations

from typing import Any

import h11

from petrelhall.net.stream import Stream

EVENTS_PER_TURN = 16  # of one connection: heads, parts of bodies, ends
MAX_HEADERS = 100  # in one head
# What h11 is handed at a time. It parses all lines of a head, or of the trailers behind a body, in one go, and takes a
# time that grows with the square of the blanks in a row before an illegal character.
PIECE_BYTES = 16384
PIECE_LINES = 128
MAX_BLANKS = 256  # spaces and tabs in a row, in a head or trailers
BLANKS = b" " * MAX_BLANKS
BAD_REQUEST_STATUS, HEAD_TOO_LARGE_STATUS, UNAVAILABLE_STATUS = 400, 431, 503


class Deferred:
    """Returned in place of an event if the connection has used its share of this turn."""


DEFERRED = Deferred()


class EventReader:
    """Feeds an h11 connection from its stream and returns its events."""

    __slots__ = ("stream", "loop", "http", "parse_event", "turn", "events_left", "needs_data", "deferred", "data_left")

    def __init__(self, stream: Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream, self.loop, self.http = stream, stream.loop, h11.Connection(role)
        self.parse_event = self.http.next_event
        self.turn, self.events_left = self.loop.turns, EVENTS_PER_TURN
        self.needs_data = True  # h11 has nothing to return before it is given more bytes
        self.deferred = False  # the last read stopped because the share of its turn was used
        self.data_left = 0  # bytes still to be received of a body of known length

    @property
    def has_input(self) -> bool:
        """Whether there may be an event to return."""
        return not self.needs_data or bool(self.stream.incoming)

    def next_event(self) -> Any:
        """Return the next event, ``h11.NEED_DATA`` or ``DEFERRED`` (h11.RemoteProtocolError).

        After ``DEFERRED`` the running task resumes in the next turn of the loop by itself.
        """
        if self.turn != self.loop.turns:
            self.turn, self.events_left, self.deferred = self.loop.turns, EVENTS_PER_TURN, False
        while self.events_left > 0:
            self.events_left -= 1
            if self.needs_data and self.stream.incoming:
                self.feed()
            event = self.parse_event()
            if event is not h11.NEED_DATA:
                self.needs_data = False
                return event
            self.needs_data = True
            self.check_incomplete()
            if not self.stream.incoming:
                return event
        self.deferred = True
        self.count_unparsed()
        self.loop.resume_next_turn()
        return DEFERRED

    def feed(self) -> None:
        """Hand the next piece of the input to h11."""
        incoming = self.stream.incoming
        if self.data_left:
            size = min(len(incoming), PIECE_BYTES, self.data_left)
            self.data_left -= size
        else:
            size = piece_size(incoming)
        self.http.receive_data(self.stream.take(size))

    def expect_body(self, length: int) -> None:
        """Hand over a body of known length without the limits on lines and blanks: h11 does not parse it."""
        self.data_left = max(0, length - len(self.http.trailing_data[0]))

    def check_incomplete(self) -> None:
        """Count an incomplete head, or trailers; reject what would take too long to parse, or too much memory.

        Raises h11.RemoteProtocolError.
        """
        incomplete = self.count_unparsed()
        if not incomplete:
            return
        if len(incomplete) > self.stream.memory.share_bytes:
            raise h11.RemoteProtocolError("no memory for so large a head", UNAVAILABLE_STATUS)
        if incomplete.count(b"\n") > PIECE_LINES:
            raise h11.RemoteProtocolError("too many lines in a head", HEAD_TOO_LARGE_STATUS)
        if len(incomplete) >= MAX_BLANKS and BLANKS in incomplete.replace(b"\t", b" "):
            raise h11.RemoteProtocolError("too many blanks in a head", BAD_REQUEST_STATUS)

    def count_unparsed(self) -> bytes:
        """Return what h11 was handed and has not parsed, and count it as held."""
        unparsed: bytes = self.http.trailing_data[0]
        self.stream.hold_unparsed(len(unparsed))
        return unparsed

    def end_message(self) -> int:
        """End the connection's share of this turn, since a message is complete; return the bytes up to its end."""
        left_over = len(self.count_unparsed())
        self.events_left = self.data_left = 0
        self.needs_data = not left_over
        return self.stream.received - len(self.stream.incoming) - left_over


def piece_size(incoming: bytearray) -> int:
    """Return the size of the next piece: limited in bytes and lines, and ended by too many blanks in a row.

    If those belong to a head or trailers, these stay incomplete and ``check_incomplete`` rejects them.
    """
    size = min(len(incoming), PIECE_BYTES)
    if incoming.count(b"\n", 0, size) > PIECE_LINES:
        size = 0
        for _ in range(PIECE_LINES):
            size = incoming.find(b"\n", size) + 1
    if incoming.count(b" ", 0, size) + incoming.count(b"\t", 0, size) >= MAX_BLANKS:
        start = incoming[:size].replace(b"\t", b" ").find(BLANKS)
        if start >= 0:
            size = start + MAX_BLANKS
    return size


def check_header_count(head: h11.Request | h11.Response) -> None:
    """Reject a head with too many headers (h11.RemoteProtocolError)."""
    if len(head.headers) > MAX_HEADERS:
        raise h11.RemoteProtocolError("too many headers", HEAD_TOO_LARGE_STATUS)
