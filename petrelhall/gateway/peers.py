"""Datagrams to and from the other gateways of the tier."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from petrelhall.decide import interface as api
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop
from petrelhall.net.stream import Address, bound

MOST = 256  # bytes in a datagram
# The first byte of a datagram says whose word it is. The module's own begin with its version, and what nobody here
# knows goes to it as well: it drops and counts it, so that old and new programs can be mixed.
SHIFT_KIND = b"\x53"  # a move between pools


class Peers:
    """One socket for both ways: the others tell a sender by its address."""

    def __init__(
        self,
        loop: Loop,
        own: Address,
        peers: tuple[Address, ...],
        everyone: Address,
        position: int,
        tell: Callable[[api.PeerMessage], None],
        counts: Counts,
    ) -> None:
        self.peer_numbers = {peer: number for number, peer in enumerate(peers) if number != position}
        self.peers, self.broadcast_address, self.tell, self.counts = peers, everyone, tell, counts
        self.datagram_handlers: dict[int, Callable[[int, bytes], None]] = {}  # by first byte
        self.on_module_datagram: Callable[[int], None] | None = (
            None  # told of who spoke, whatever it said to others' ears
        )
        self.sock = bound(own, socket.SOCK_DGRAM)
        loop.register(self.sock.fileno(), select.EPOLLIN, self.on_ready)

    def stop_receiving(self) -> None:
        """Leave what others say to a newer process on the same address; what this one says is still sent.

        Two sockets on one address each get what some of the peers say. One that is connected gets nothing but
        what comes from there: to its own address, nothing.
        """
        try:
            self.sock.connect(self.sock.getsockname())
        except OSError:  # it goes on hearing some of them until this process ends
            self.counts.add("peers", "not_left")

    def send(self, content: bytes, to: tuple[int, ...] = ()) -> None:
        """Tell those of these numbers, or all others; a datagram that cannot go now is lost, as any may be."""
        if len(content) > MOST:  # one byte more would break a rule of the platform
            self.counts.add("peers", "too_long")
            return
        for address in [self.peers[number] for number in to] if to else [self.broadcast_address]:
            try:
                self.sock.sendto(content, address)
                self.counts.add("peers", "sent")
            except OSError:
                self.counts.add("peers", "unsent")

    def on_ready(self, mask: int) -> None:
        """Pass on what a known peer says and drop the rest; epoll tells again if more has come."""
        try:
            content, sender = self.sock.recvfrom(MOST + 1)
        except OSError:  # nothing after all, or an earlier datagram that found nobody
            return
        number = self.peer_numbers.get(sender)
        if number is None or len(content) > MOST:
            self.counts.add("peers", "dropped")
            return
        self.counts.add("peers", "received")
        take = self.datagram_handlers.get(content[0]) if content else None
        if take is not None:
            return take(number, content)
        if self.on_module_datagram is not None:
            self.on_module_datagram(number)
        self.tell(api.PeerMessage(number, content))
