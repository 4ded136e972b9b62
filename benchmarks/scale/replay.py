"""Gives recorded datagrams to a core again, each through a UDP socket on loopback, and measures the CPU of that."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

LONGEST = 1500  # bytes of a datagram


@dataclass(frozen=True)
class Datagram:
    """One recorded datagram."""

    when_ms: float
    sender: int
    content: bytes


@dataclass
class Load:
    """What a core cost and sent."""

    cpu_s: float = 0.0
    sent: int = 0
    sent_bytes: int = 0


Hear = Callable[[float, int, bytes], Iterable[bytes]]
Tick = Callable[[float], Iterable[bytes]]


def replay(datagrams: list[Datagram], began_ms: float, end_ms: float, tick_ms: float, hear: Hear, tick: Tick) -> Load:
    """Give a core what it heard and its turns by the clock; ``hear`` and ``tick`` give what it sends."""
    one, other = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    load, due, now = Load(), list(reversed(datagrams)), began_ms
    try:
        for sock in (one, other):
            sock.bind(("127.0.0.1", 0))
        one.setblocking(False)
        while now < end_ms:
            now += tick_ms
            outgoing: list[bytes] = []
            while due and due[-1].when_ms <= now:
                datagram = due.pop()
                one.sendto(datagram.content, other.getsockname())  # the network's work: not counted
                began = time.process_time()
                content, _ = other.recvfrom(LONGEST)
                outgoing += hear(datagram.when_ms, datagram.sender, content)
                load.cpu_s += time.process_time() - began
            began = time.process_time()
            outgoing += tick(now)
            for content in outgoing:
                other.sendto(content, one.getsockname())
            load.cpu_s += time.process_time() - began
            load.sent += len(outgoing)
            load.sent_bytes += sum(map(len, outgoing))
            drain(one)
    finally:
        one.close()
        other.close()
    return load


def drain(sock: socket.socket) -> None:
    """Take out what has come."""
    try:
        while True:
            sock.recv(LONGEST)
    except BlockingIOError:
        pass
