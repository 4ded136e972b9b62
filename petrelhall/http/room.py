"""How many bytes of clients' bodies and of large answers one gateway holds at once. Pure: it only counts.

A body that is kept whole can be tried again and goes to a server at one stroke, however slowly it came; it needs
memory. One that is passed on as it comes needs little, and can be tried once. So bodies are kept while there is room,
and passed on from there; and the more are passed on at once, the less each may hold.
"""

from __future__ import annotations

MAX_BUFFERED_BODY_BYTES = 1 << 20  # bytes of one body that is kept whole: 16 s at the pace that clients may send at
COPIES = 3  # of a kept body while it goes out: as read, as the message, as what waits to be sent
MIN_STREAM_BYTES, MAX_STREAM_BYTES = 16384, 131072  # bytes that one flow may hold in each direction
BASE_MB, SHARE = 30.0, 0.3  # what a process needs besides, and the share of the rest that bodies kept may take


class BodyBudget:
    """The bytes that there are for bodies, and who holds them."""

    def __init__(self, memory_mb: float) -> None:
        spare = max(2.0, memory_mb - BASE_MB) * 1048576.0
        self.kept_most = int(SHARE * spare / COPIES)
        self.flow_most = int(SHARE * spare)
        self.kept = self.active_streams = 0

    def reserve(self, more: int, held: int) -> bool:
        """Take room for so many more bytes of a body that holds some already; False where it has to flow."""
        if held + more > MAX_BUFFERED_BODY_BYTES or self.kept + more > self.kept_most:
            return False
        self.kept += more
        return True

    def release(self, held: int) -> None:
        """Give back what a body that was kept had taken."""
        self.kept -= held

    @property
    def bytes_per_stream(self) -> int:
        """Give the bytes that one flow may hold in each direction."""
        return max(MIN_STREAM_BYTES, min(MAX_STREAM_BYTES, self.flow_most // max(1, 2 * self.active_streams)))
