"""Framed TCP connections: partial and oversized frames, closing by either side, unreachable peers."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from petrelhall.net.frames import (
    FRAMES_PER_TURN,
    HEADER,
    MAX_FRAME_BYTES,
    MAX_UNSENT_BYTES,
    FrameListener,
    connect,
)
from petrelhall.net.loop import Loop

TIMEOUT_S = 10.0


class FramePeers:
    """A listener and what its connections received."""

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

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Run the loop until a condition holds, for a bounded time."""
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, self.log
            self.loop.after(10.0, lambda: None)
            self.loop.turn()

    def connect_socket(self) -> socket.socket:
        """Connect with a plain socket."""
        sock = socket.create_connection(self.listener.address, TIMEOUT_S)
        self.run_until(lambda: bool(self.listener.connections))
        return sock


@pytest.fixture
def peers() -> Iterator[FramePeers]:
    """Provide a listener, and close it afterwards."""
    created = FramePeers()
    yield created
    for connection in created.listener.connections.values():
        connection.close()
    created.loop.turn()
    created.listener.sock.close()
    created.loop.epoll.close()


def framed(content: bytes) -> bytes:
    """Return a frame with its length header."""
    return HEADER.pack(len(content)) + content


def test_frames_go_both_ways_and_only_the_peer_is_notified_of_a_close(peers: FramePeers) -> None:
    received, events = list[bytes](), list[str]()
    client = connect(
        peers.loop,
        peers.listener.address,
        received.append,
        lambda: events.append("closed"),
        lambda: events.append("open"),
    )
    client.send(b"before it is open")
    client.send(b"")
    peers.run_until(lambda: len(peers.frames) == 2)
    assert peers.frames == [(1, b"before it is open"), (1, b"")] and events == ["open"]
    peers.listener.send(1, bytes(300_000))
    peers.listener.send(2, b"to nobody")
    peers.run_until(lambda: bool(received))
    assert received == [bytes(300_000)]
    client.close()
    peers.run_until(lambda: peers.closed == [1])
    assert events == ["open"] and not peers.listener.connections
    client.send(b"too late")


def test_frames_are_reassembled_from_any_fragments(peers: FramePeers) -> None:
    with peers.connect_socket() as sock:
        sent = framed(b"one") + framed(b"") + framed(b"three")
        for place in range(len(sent)):
            sock.sendall(sent[place : place + 1])
            peers.loop.after(0.0, lambda: None)
            peers.loop.turn()
        peers.run_until(lambda: len(peers.frames) == 3)
        sock.sendall(sent * 2 + HEADER.pack(9) + b"half")
        peers.run_until(lambda: len(peers.frames) == 9)
    peers.run_until(lambda: peers.closed == [1])
    assert [content for _, content in peers.frames] == [b"one", b"", b"three"] * 3


# Guards against: a peer that sends thousands of small frames at once holds up all others.
def test_a_flood_of_frames_waits_its_turn_and_is_received_whole_before_its_close(peers: FramePeers) -> None:
    with peers.connect_socket() as flood, socket.create_connection(peers.listener.address, TIMEOUT_S) as usual:
        peers.run_until(lambda: len(peers.listener.connections) == 2)
        flood.sendall(framed(b"") * 1000)
        usual.sendall(framed(b"usual"))
        flood.close()
        turns = 0

        def is_received() -> bool:
            nonlocal turns
            turns += 1
            return (2, b"usual") in peers.frames

        peers.run_until(is_received)
        assert len(peers.frames) - 1 <= FRAMES_PER_TURN * (turns - 1)
        peers.run_until(lambda: peers.closed == [1])
        assert len(peers.frames) == 1001


def test_an_oversized_frame_closes_the_connection(peers: FramePeers) -> None:
    with peers.connect_socket() as sock:
        sock.sendall(framed(b"fine") + HEADER.pack(MAX_FRAME_BYTES + 1))
        peers.run_until(lambda: peers.closed == [1])
    assert peers.frames == [(1, b"fine")]


def test_a_peer_that_does_not_read_is_disconnected(peers: FramePeers) -> None:
    with peers.connect_socket() as sock:
        piece = bytes(1 << 20)
        for _ in range(2 * (MAX_UNSENT_BYTES >> 20)):
            peers.listener.send(1, piece)
        peers.run_until(lambda: peers.closed == [1])
        assert sock.fileno() >= 0


def test_a_refused_connection_is_reported_as_closed(peers: FramePeers) -> None:
    with socket.create_server(("127.0.0.1", 0)) as closed_server:
        address = closed_server.getsockname()
    events = list[str]()
    connect(peers.loop, address, lambda content: None, lambda: events.append("closed"), lambda: events.append("open"))
    peers.run_until(lambda: bool(events))
    assert events == ["closed"]
