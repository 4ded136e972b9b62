"""Which of several servers that are listed at one address is there now. Pure.

A new server may come up at the address of one that has gone, and be listed before the other is reported as gone. What
is sent to the old one's address then reaches the new one, which may be of another zone and knows none of its keys.
"""

from __future__ import annotations

from petrelhall.net.stream import Address


class AddressClaims:
    """Remembers which servers are listed at an address, in the order in which they were."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}
        self.started: dict[str, float] = {}  # Unix ms, 0: long ago
        self.claimants: dict[Address, list[str]] = {}

    def set(self, server: str, address: Address, started_ms: float) -> list[str]:
        """Record that a server is listed at an address; return the others at its new and its former one."""
        others: list[str] = []
        if self.addresses.get(server) != address:
            others = self.remove(server)
            self.addresses[server] = address
            self.claimants.setdefault(address, []).append(server)
        self.started[server] = started_ms
        return others + [other for other in self.claimants[address] if other != server]

    def remove(self, server: str) -> list[str]:
        """Record that a server is not listed any more; return the others at its address."""
        address = self.addresses.pop(server, None)
        if address is None:
            return []
        del self.started[server]
        claimants = self.claimants[address]
        claimants.remove(server)
        if not claimants:
            del self.claimants[address]
        return list(claimants)

    def is_superseded(self, server: str) -> bool:
        """Return whether another server is now at the address: one that started later, or was listed there later."""
        address = self.addresses.get(server)
        claimants = self.claimants[address] if address is not None else []
        if len(claimants) < 2:
            return False
        # Of those that started at the same time, the last one.
        return max(reversed(claimants), key=self.started.__getitem__) != server
