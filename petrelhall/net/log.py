"""Operator log: rate-limited lines, written without ever blocking the process."""

from __future__ import annotations

import os
import select
import time

MAX_LINE_BYTES = 1000  # under PIPE_BUF, so that a pipe ready for writing accepts a whole line
MAX_LINES_PER_SECOND = 20


class Log:
    """Writes to standard error; lines beyond the rate limit, or while nobody reads, are counted and dropped."""

    def __init__(self, name: str = "petrelhall", fd: int = 2) -> None:
        self.name, self.fd, self.dropped = name, fd, 0
        self.second, self.lines_this_second = 0, 0
        self.writable = select.poll()
        self.writable.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Write one line, unless the limit of this second is reached."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines_this_second = second, 0
        self.lines_this_second += 1
        if self.lines_this_second > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        self.write(text)

    def write(self, text: str) -> None:
        """Write one line regardless of the rate limit."""
        dropped_note = f" ({self.dropped} lines dropped)" if self.dropped else ""
        line = f"{self.name}: {text}{dropped_note}".replace("\n", " ").encode(errors="replace")[:MAX_LINE_BYTES] + b"\n"
        # A slow reader of the log must not stop the gateway: writing to a pipe that is not ready would block.
        if not self.writable.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self.fd, line)
            self.dropped = 0
        except OSError:
            self.dropped += 1
