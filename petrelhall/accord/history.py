"""The last decisions that are known here."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

KEPT = 64  # decisions that are remembered


class History:
    """Version and digest of each known decision, the latest first."""

    def __init__(self) -> None:
        self.entries: deque[tuple[int, bytes]] = deque(maxlen=KEPT)

    def __iter__(self) -> Iterator[tuple[int, bytes]]:
        return iter(self.entries)

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, version: int, digest: bytes) -> None:
        """Take in a decision that is later than all others."""
        self.entries.appendleft((version, digest))

    def remember(self, version: int, digest: bytes) -> None:
        """Take in an earlier decision."""
        if all(known != version for known, _ in self.entries):
            self.entries.append((version, digest))
            self.entries = deque(sorted(self.entries, reverse=True), maxlen=KEPT)

    def digest(self, version: int) -> bytes | None:
        """Give what a version was decided to be, where that is known."""
        return dict(self.entries).get(version)

    def latest(self, count: int) -> tuple[tuple[int, bytes], ...]:
        """Give so many of the latest decisions."""
        return tuple(self.entries)[:count]

    def missing(self, version: int) -> int | None:
        """Give the latest decision before a version that is not known, of as many as are kept."""
        known = {number for number, _ in self.entries}
        return next(
            (number for number in range(version - 1, max(-1, version - KEPT), -1) if number not in known),
            None,
        )
