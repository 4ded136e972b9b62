"""Frames on TCP: whole, in pieces, too large, closed by either side, and towards nobody."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from petrelhall.net.frames import HEADER, MAX_FRAME_BYTES, MAX_UNSENT_BYTES, FrameListener, connect
from petrelhall.net.loop import Loop

MOST_S = 10.0


class Ends:
    """A listener and what its connections said."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.loop = Loop(self.log.append)
        self.frames: list[tuple[int, bytes]] = []
        self.closed: list[int] = []
        self.listener = FrameListener(
            self.loop,
            ("127.0.0.1", 0),
            lambda number, content: self.frames.append((number, content)),
            self.closed.append,
        )

    def until(self, condition: Callable[[], bool]) -> None:
        """Work until something is so, for a bounded time."""
        end = time.monotonic() + MOST_S
        while not condition():
            assert time.monotonic() < end, self.log
            self.loop.after(10.0, lambda: None)
            self.loop.turn()

    def raw(self) -> socket.socket:
        """Connect with a plain socket."""
        sock = socket.create_connection(self.listener.address, MOST_S)
        self.until(lambda: bool(self.listener.connections))
        return sock


@pytest.fixture
def ends() -> Iterator[Ends]:
    """Give a listener."""
    found = Ends()
    yield found
    for connection in found.listener.connections.values():
        connection.close()
    found.loop.turn()
    found.listener.sock.close()
    found.loop.epoll.close()


def framed(content: bytes) -> bytes:
    """Put its length before a content."""
    return HEADER.pack(len(content)) + content


def test_frames_go_both_ways_and_closing_is_told_to_the_other_side_only(ends: Ends) -> None:
    got, events = list[bytes](), list[str]()
    client = connect(
        ends.loop, ends.listener.address, got.append, lambda: events.append("closed"), lambda: events.append("open")
    )
    client.send(b"before it is open")
    client.send(b"")
    ends.until(lambda: len(ends.frames) == 2)
    assert ends.frames == [(1, b"before it is open"), (1, b"")] and events == ["open"]
    ends.listener.send(1, bytes(300_000))
    ends.listener.send(2, b"to nobody")
    ends.until(lambda: bool(got))
    assert got == [bytes(300_000)]
    client.close()
    ends.until(lambda: ends.closed == [1])
    assert events == ["open"] and not ends.listener.connections
    client.send(b"too late")


def test_frames_come_whole_however_they_are_cut(ends: Ends) -> None:
    with ends.raw() as sock:
        sent = framed(b"one") + framed(b"") + framed(b"three")
        for place in range(len(sent)):
            sock.sendall(sent[place : place + 1])
            ends.loop.after(0.0, lambda: None)
            ends.loop.turn()
        ends.until(lambda: len(ends.frames) == 3)
        sock.sendall(sent * 2 + HEADER.pack(9) + b"half")
        ends.until(lambda: len(ends.frames) == 9)
    ends.until(lambda: ends.closed == [1])
    assert [content for _, content in ends.frames] == [b"one", b"", b"three"] * 3


def test_a_frame_that_is_too_large_ends_its_connection(ends: Ends) -> None:
    with ends.raw() as sock:
        sock.sendall(framed(b"fine") + HEADER.pack(MAX_FRAME_BYTES + 1))
        ends.until(lambda: ends.closed == [1])
    assert ends.frames == [(1, b"fine")]


def test_who_does_not_read_is_let_go(ends: Ends) -> None:
    with ends.raw() as sock:
        piece = bytes(1 << 20)
        for _ in range(2 * (MAX_UNSENT_BYTES >> 20)):
            ends.listener.send(1, piece)
        ends.until(lambda: ends.closed == [1])
        assert sock.fileno() >= 0


def test_nobody_there_is_told_as_closed(ends: Ends) -> None:
    with socket.create_server(("127.0.0.1", 0)) as gone:
        address = gone.getsockname()
    events = list[str]()
    connect(ends.loop, address, lambda content: None, lambda: events.append("closed"), lambda: events.append("open"))
    ends.until(lambda: bool(events))
    assert events == ["closed"]
