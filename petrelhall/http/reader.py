"""Reads h11 events from a stream, a limited number in each turn of the event loop.

One thread parses for all connections. What one peer has sent may hold hundreds of requests or thousands of events, so
a connection that has used its share of a turn continues in the next turn, after all others.
"""

from __future__ import annotations

from typing import Any

import h11

from petrelhall.net.stream import Stream

EVENTS_PER_TURN = 32  # of one connection: heads, parts of bodies, ends
MAX_HEADERS = 100  # in one head
# What h11 is handed at a time. It parses all lines of a head, or of the trailers behind a body, in one go.
PIECE_BYTES = 16384
PIECE_LINES = 128
HEAD_TOO_LARGE_STATUS = 431


class Deferred:
    """Returned in place of an event if the connection has used its share of this turn."""


DEFERRED = Deferred()


class EventReader:
    """Feeds an h11 connection from its stream and returns its events."""

    __slots__ = ("stream", "loop", "http", "parse_event", "turn", "events_left", "needs_data", "deferred")

    def __init__(self, stream: Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream, self.loop, self.http = stream, stream.loop, h11.Connection(role)
        self.parse_event = self.http.next_event
        self.turn, self.events_left = self.loop.turns, EVENTS_PER_TURN
        self.needs_data = True  # h11 has nothing to return before it is given more bytes
        self.deferred = False  # the last read stopped because the share of its turn was used

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
                self.http.receive_data(self.stream.take_piece(PIECE_BYTES, PIECE_LINES))
            event = self.parse_event()
            if event is not h11.NEED_DATA:
                self.needs_data = False
                return event
            self.needs_data = True
            self.check_incomplete_lines()
            if not self.stream.incoming:
                return event
        self.deferred = True
        self.loop.resume_next_turn()
        return DEFERRED

    def check_incomplete_lines(self) -> None:
        """Reject a head or trailers with too many lines before they are complete (h11.RemoteProtocolError)."""
        if self.http.trailing_data[0].count(b"\n") > PIECE_LINES:
            raise h11.RemoteProtocolError("too many lines in a head", HEAD_TOO_LARGE_STATUS)

    def end_message(self) -> None:
        """End the connection's share of this turn: a message is complete, and the next one waits for its turn."""
        self.events_left = 0
        self.needs_data = not self.http.trailing_data[0]


def check_header_count(head: h11.Request | h11.Response) -> None:
    """Reject a head with too many headers (h11.RemoteProtocolError)."""
    if len(head.headers) > MAX_HEADERS:
        raise h11.RemoteProtocolError("too many headers", HEAD_TOO_LARGE_STATUS)
