"""Lines for the people on call: few, and never in the way of the work."""

from __future__ import annotations

import os
import select
import time

LINE = 1000  # bytes: under PIPE_BUF, so that a pipe ready for writing takes a line whole
PER_SECOND = 20


class Log:
    """Writes to standard error; what comes too fast, or finds nobody reading, is counted and dropped."""

    def __init__(self, name: str = "petrelhall", fd: int = 2) -> None:
        self.name, self.fd, self.dropped = name, fd, 0
        self.second, self.lines = 0, 0
        self.ready = select.poll()
        self.ready.register(fd, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Write one line, unless too many were written this second."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        if self.lines > PER_SECOND:
            self.dropped += 1
            return
        self.write(text)

    def write(self, text: str) -> None:
        """Write one line now, whatever came before it."""
        lost = f" ({self.dropped} lines dropped)" if self.dropped else ""
        line = f"{self.name}: {text}{lost}".replace("\n", " ").encode(errors="replace")[:LINE] + b"\n"
        # A log that is read slowly must not stop the gateway: a pipe that is not ready would block the write.
        if not self.ready.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self.fd, line)
            self.dropped = 0
        except OSError:
            self.dropped += 1
