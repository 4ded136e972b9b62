"""Datagrams to and from the other gateways."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from petrelhall.decide import interface as api
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop
from petrelhall.net.stream import Address, bind_socket

MAX_DATAGRAM_BYTES = 256  # the platform's limit
# The first byte of a datagram selects its handler. Datagrams of the decision module begin with its message version.
# Unknown first bytes go to the module as well, which drops and counts them, so that gateways of different versions can
# run side by side.
SHIFT_KIND = b"\x53"  # a traffic shift between pools


class Peers:
    """The UDP socket on which this gateway sends and receives: peers identify a sender by its address."""

    def __init__(
        self,
        loop: Loop,
        own: Address,
        peers: tuple[Address, ...],
        broadcast_address: Address,
        position: int,
        notify: Callable[[api.PeerMessage], None],
        counts: Counts,
    ) -> None:
        self.peer_numbers = {peer: number for number, peer in enumerate(peers) if number != position}
        self.peers, self.broadcast_address, self.notify, self.counts = peers, broadcast_address, notify, counts
        self.datagram_handlers: dict[int, Callable[[int, bytes], None]] = {}  # by first byte
        # Called with the sender's number for each datagram that has no handler and so goes to the decision module.
        self.on_module_datagram: Callable[[int], None] | None = None
        self.sock = bind_socket(own, socket.SOCK_DGRAM)
        loop.register(self.sock.fileno(), select.EPOLLIN, self.on_readable)

    def stop_receiving(self) -> None:
        """Leave incoming datagrams to a newer process bound to the same address; sending still works.

        The kernel spreads datagrams over all sockets bound to one address. A connected socket only receives datagrams
        from the address that it is connected to; connected to its own address, it receives none.
        """
        try:
            self.sock.connect(self.sock.getsockname())
        except OSError:  # this process keeps receiving a share of the datagrams until it exits
            self.counts.add("peers", "not_left")

    def send(self, content: bytes, to: tuple[int, ...] = ()) -> None:
        """Send to the peers with these numbers, or broadcast to all others.

        Delivery is best effort: a datagram that cannot be sent now is dropped.
        """
        if len(content) > MAX_DATAGRAM_BYTES:  # the platform forbids larger datagrams
            self.counts.add("peers", "too_long")
            return
        for address in [self.peers[number] for number in to] if to else [self.broadcast_address]:
            try:
                self.sock.sendto(content, address)
                self.counts.add("peers", "sent")
            except OSError:
                self.counts.add("peers", "unsent")

    def on_readable(self, mask: int) -> None:
        """Receive one datagram: pass it on if it came from a known peer, else drop it.

        Epoll is level-triggered and reports the socket again if more datagrams are queued.
        """
        try:
            content, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:  # spurious wake-up, or an ICMP error for a datagram sent earlier
            return
        number = self.peer_numbers.get(sender)
        if number is None or len(content) > MAX_DATAGRAM_BYTES:
            self.counts.add("peers", "dropped")
            return
        self.counts.add("peers", "received")
        handler = self.datagram_handlers.get(content[0]) if content else None
        if handler is not None:
            return handler(number, content)
        if self.on_module_datagram is not None:
            self.on_module_datagram(number)
        self.notify(api.PeerMessage(number, content))
