"""Memory budget for request bodies and large responses of one gateway. Pure: it only counts.

A buffered body can be retried and is sent to a server in one go, however slowly it arrived, but it needs memory.
A streamed body needs little memory, but allows only one attempt. So bodies are buffered while the budget allows,
and streamed beyond that; the more streams are active, the fewer bytes each may hold.
"""

from __future__ import annotations

MAX_BUFFERED_BODY_BYTES = 1 << 20  # of one body: 16 s at the minimum rate at which clients may send
COPIES_WHILE_SENT = 3  # of a buffered body: as read, in the request, and in the send buffer
MIN_STREAM_BYTES = 16384  # that one stream may hold in each direction, however many there are
MAX_STREAM_BYTES = 131072  # that one stream may hold in each direction
BASE_MB = 30.0  # memory that a process needs besides bodies
BODY_MEMORY_SHARE = 0.3  # share of the remaining memory for buffered bodies, and as much for streams


class BodyBudget:
    """Tracks the bytes held by buffered bodies and the number of active streams."""

    def __init__(self, memory_mb: float) -> None:
        spare_bytes = max(2.0, memory_mb - BASE_MB) * 1048576.0
        self.max_buffered_bytes = int(BODY_MEMORY_SHARE * spare_bytes / COPIES_WHILE_SENT)
        self.max_streaming_bytes = int(BODY_MEMORY_SHARE * spare_bytes)
        self.buffered_bytes = self.active_streams = 0

    def reserve(self, extra: int, held: int) -> bool:
        """Reserve bytes for a body that already holds some; return False if it has to be streamed."""
        if held + extra > MAX_BUFFERED_BODY_BYTES or self.buffered_bytes + extra > self.max_buffered_bytes:
            return False
        self.buffered_bytes += extra
        return True

    def release(self, held: int) -> None:
        """Release the bytes reserved for a buffered body."""
        self.buffered_bytes -= held

    @property
    def bytes_per_stream(self) -> int:
        """Return the bytes that one stream may hold in each direction."""
        return max(MIN_STREAM_BYTES, min(MAX_STREAM_BYTES, self.max_streaming_bytes // max(1, 2 * self.active_streams)))
