"""The shared counter: numbers by name that calls add to, one text line a call."""

from __future__ import annotations

import asyncio
import re
import time

from petrelhall.standins.wire import Service

CALL = re.compile(rb"add ([^ ]{1,64}) (-?\d+(?:\.\d+)?) (\d+)")
LONGEST_MS = 60000


class Counter(Service):
    """Holds the numbers, or with others of them the same numbers. Must be started inside a running event loop."""

    def __init__(self, most_per_s: float = 1300.0) -> None:
        super().__init__()
        self.numbers: dict[bytes, tuple[float, float]] = {}  # total, and when the name is forgotten
        self.calls = self.errors = 0
        self.pace_s, self.next_turn = 1.0 / most_per_s, 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.busy = self.spoilt = False  # turns all away; answers what nobody can read
        self.late_s = 0.0  # by which answers come late

    def stop(self) -> None:
        """Listen no more, and drop every line."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def replace(self) -> None:
        """Have an empty one take over: every line ends, every number is gone."""
        self.numbers = {}
        for writer in list(self.writers):
            writer.transport.abort()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, answers in the order of the calls."""
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                now = time.monotonic()
                self.next_turn = max(now, self.next_turn) + self.pace_s
                if self.next_turn - now > 0.002:
                    await asyncio.sleep(self.next_turn - now)
                told = self.call(line.rstrip(b"\r\n"))
                if self.late_s:
                    await asyncio.sleep(self.late_s)
                writer.write((b"?" if self.spoilt else told) + b"\r\n")
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def call(self, line: bytes) -> bytes:
        """Carry out one call."""
        self.calls += 1
        if line == b"ping":
            return b"pong"
        if self.busy:
            return b"busy"
        read = CALL.fullmatch(line)
        if read is None:
            self.errors += 1
            return b"error"
        now = time.monotonic()
        total, until = self.numbers.get(read[1], (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(LONGEST_MS, int(read[3])) / 1000.0
        total += float(read[2])
        self.numbers[read[1]] = total, until
        return b"ok %.7g" % total
