"""Memory budget of a process for what its peers make it hold. Pure but for one look at the size of the process.

Everything that a peer makes the process hold counts: bytes read and not parsed, incomplete heads, bodies, and output
that the peer does not take. One rule limits all of it: a connection may come to hold a share of what is still free,
and always MIN_SHARE_BYTES. The more is held, the smaller the share, so that the total stays within the budget however
many connections there are. Beyond its share, input is left in the kernel, a large body or answer is passed on instead
of buffered, and a request that is not complete is refused. Usual requests fit the least share.
"""

from __future__ import annotations

import os

MIB = 1 << 20
MIN_SHARE_BYTES = 2048  # that any connection may hold of each kind: a usual request and its answer
SHARE_DIVISOR = 8  # a connection may hold this part of what is free
MAX_STREAM_BYTES = 131072  # held of a body or an answer that is passed on
MAX_BUFFERED_BODY_BYTES = MIB  # of one request: 16 s at the minimum rate at which clients may send
RESERVED_BYTES = 3 * MIB // 2  # for the tables of a process in use
CONNECTION_BYTES = 6144  # of one client's connection, with the parsed head of its request
# Memory that the process takes for each byte that counts: buffers grow in steps, and are copied when they are sent.
OVERHEAD = 2.0
CUSTOMER_BYTES = 1100  # of one remembered customer
MIN_CUSTOMERS = 500
CUSTOMER_SHARE = 0.2  # of the memory that is not reserved, for the customers that are remembered
CLIENT_SHARE = 0.8  # of the memory that is not reserved, for the connections of clients and their least shares
MIN_CLIENTS = 64
MIN_LIMIT_BYTES = MIB  # where the process already takes nearly all of its limit


class MemoryBudget:
    """Counts the bytes that are held, and tells how many more one connection may hold."""

    __slots__ = ("limit_bytes", "held_bytes", "ample_bytes", "max_customers")

    def __init__(self, spare_bytes: float) -> None:
        """Divide the memory that is left to the process."""
        self.max_customers = max(MIN_CUSTOMERS, int(CUSTOMER_SHARE * spare_bytes / CUSTOMER_BYTES))
        spare_bytes -= self.max_customers * CUSTOMER_BYTES
        self.limit_bytes = max(MIN_LIMIT_BYTES, int(spare_bytes / OVERHEAD))
        # While no more is held, every share is larger than what one connection may hold in any case.
        self.ample_bytes = self.limit_bytes - SHARE_DIVISOR * MAX_STREAM_BYTES
        self.held_bytes = 0

    @property
    def share_bytes(self) -> int:
        """The bytes that one connection may hold now."""
        return max(MIN_SHARE_BYTES, (self.limit_bytes - self.held_bytes) // SHARE_DIVISOR)

    @property
    def bytes_per_stream(self) -> int:
        """The bytes that may be held now, in each direction, of a body or an answer that is passed on."""
        return min(MAX_STREAM_BYTES, self.share_bytes)


def process_budget(memory_mb: float, max_clients: int) -> tuple[MemoryBudget, int]:
    """Return the budget of this process, and how many clients may be connected.

    ``memory_mb`` (MiB) is the limit of the process, from which what it takes now is subtracted; ``max_clients`` is the
    most for which there are descriptors.
    """
    spare_bytes = memory_mb * MIB - resident_bytes() - RESERVED_BYTES
    # Beyond its least share of a body, a connection may hold one of input that is not parsed.
    least_bytes = CONNECTION_BYTES + 2 * MIN_SHARE_BYTES * OVERHEAD
    max_clients = min(max_clients, max(MIN_CLIENTS, int(CLIENT_SHARE * spare_bytes / least_bytes)))
    return MemoryBudget(spare_bytes - max_clients * CONNECTION_BYTES), max_clients


def resident_bytes() -> int:
    """Return the resident memory of this process, 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
