"""The time limit of a request whose body is streamed to a server. Pure: the caller passes in the time.

A client's deadline counts from when it has written the last byte of its request. While the server reads slowly, the
gateway does not read either, and what the client has written since waits in the kernels of both machines, unseen. The
limit therefore counts from the earliest time at which the client can have written the last byte.
"""

from __future__ import annotations

from collections import deque

# The most that the kernels on both sides of a connection hold by default: 4 MiB to be sent and 6 MiB received.
KERNEL_BUFFERED_BYTES = 10 << 20
MARK_INTERVAL_BYTES = 1 << 18  # between two marks of when a byte of the body was passed on


class UploadClock:
    """Tells since when a client may have been waiting for the answer to a request that it streams."""

    def __init__(self, now: float) -> None:
        self.written_at = now  # the last byte was not written earlier than this (Unix ms)
        self.passed_on_bytes = 0
        self.marks: deque[tuple[int, float]] = deque()  # bytes passed on, and when

    def on_drained(self, now: float) -> None:
        """All that the client has written was passed on, and it is not the whole body."""
        self.written_at = now
        self.marks.clear()

    def on_passed_on(self, now: float, size: int) -> None:
        """More bytes were passed on: earlier than the kernels could hold them, they were not written."""
        self.passed_on_bytes += size
        if not self.marks or self.passed_on_bytes - self.marks[-1][0] >= MARK_INTERVAL_BYTES:
            self.marks.append((self.passed_on_bytes, now))
        while self.marks and self.marks[0][0] <= self.passed_on_bytes - KERNEL_BUFFERED_BYTES:
            self.written_at = self.marks.popleft()[1]
