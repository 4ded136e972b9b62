"""The network between gateways, with faults: a relay for each ordered pair of them, on loopback.

What gateway j sends to the address of i (or to that of all) is carried to i from an address that stands for j, which
is how the platform has it. Each ordered pair has a ``Way`` of its own that loses, delays, repeats, spoils, limits and
cuts. Nothing here reads what the datagrams say.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass

from petrelhall.standins.wire import text

LONGEST = 256  # bytes that the platform carries


@dataclass(slots=True)
class Way:
    """How datagrams fare from one gateway to another; shares are of those that are carried."""

    cut: int = 0  # faults that cut it now: it is open at 0
    loss: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)  # drawn for each: those that differ reorder
    repeat: float = 0.0
    spoil: float = 0.0  # a bit of them is turned
    per_s: float = 0.0  # at most so many a second; 0 for no limit
    allowance: float = 0.0
    filled: float = 0.0

    def within(self, now: float) -> bool:
        """Tell whether the limit lets one more through."""
        if not self.per_s:
            return True
        self.allowance = min(self.per_s, self.allowance + (now - self.filled) * self.per_s)
        self.filled = now
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True


class Network:
    """All ways between some gateways."""

    def __init__(self, own: list[tuple[str, int]], seed: int) -> None:
        self.own, self.random = own, random.Random(f"{seed}/network")
        self.numbers = {address: number for number, address in enumerate(own)}
        self.senders = [self.open() for _ in own]
        self.everyone = self.open()
        self.ways = {
            (sender, receiver): Way()
            for sender in range(len(own))
            for receiver in range(len(own))
            if sender != receiver
        }
        self.seen: Counter[str] = Counter()
        self.carried: Counter[int] = Counter()  # by sender: datagrams, one for each receiver

    def open(self) -> socket.socket:
        """Open one of the addresses."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        return sock

    @property
    def peers(self) -> list[str]:
        """Give the addresses that gateways know each other by."""
        return [text(sender.getsockname()) for sender in self.senders]

    @property
    def address(self) -> tuple[str, int]:
        """Give the address of all."""
        found: tuple[str, int] = self.everyone.getsockname()
        return found

    async def start(self) -> None:
        """Carry from now on."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.everyone, self.on_ready, self.everyone, None)
        for number, sock in enumerate(self.senders):
            loop.add_reader(sock, self.on_ready, sock, number)

    def stop(self) -> None:
        """Carry nothing more."""
        loop = asyncio.get_running_loop()
        for sock in [self.everyone, *self.senders]:
            loop.remove_reader(sock)
            sock.close()

    def on_ready(self, sock: socket.socket, receiver: int | None) -> None:
        """Take what has come."""
        for _ in range(64):
            try:
                content, address = sock.recvfrom(2048)
            except OSError:
                return
            sender = self.numbers.get(address)
            if sender is None or len(content) > LONGEST:
                self.seen["foreign" if sender is None else "too_long"] += 1
                continue
            for number in range(len(self.own)) if receiver is None else (receiver,):
                if number != sender:
                    self.carry(sender, number, content)

    def carry(self, sender: int, receiver: int, content: bytes) -> None:
        """Send one on its way."""
        way, draw = self.ways[sender, receiver], self.random
        self.carried[sender] += 1
        if way.cut or draw.random() < way.loss or not way.within(time.monotonic()):
            self.seen["cut" if way.cut else "lost"] += 1
            return
        if way.spoil and draw.random() < way.spoil:
            self.seen["spoilt"] += 1
            at = draw.randrange(len(content))
            content = content[:at] + bytes([content[at] ^ 1 << draw.randrange(8)]) + content[at + 1 :]
        for _ in range(2 if way.repeat and draw.random() < way.repeat else 1):
            delay = draw.uniform(*way.delay_s)
            if delay:
                asyncio.get_running_loop().call_later(delay, self.deliver, sender, receiver, content)
            else:
                self.deliver(sender, receiver, content)

    def deliver(self, sender: int, receiver: int, content: bytes) -> None:
        """Hand one over; where nobody listens it is lost, as on any network."""
        if self.ways[sender, receiver].cut:  # cut while it was on its way
            self.seen["cut"] += 1
            return
        try:
            self.senders[sender].sendto(content, self.own[receiver])
        except OSError:
            self.seen["lost"] += 1
