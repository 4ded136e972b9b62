"""The latest decisions known to this gateway."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

MAX_DECISIONS = 64  # older decisions are forgotten


class History:
    """Version and digest of each known decision, the latest first."""

    def __init__(self) -> None:
        self.entries: deque[tuple[int, bytes]] = deque(maxlen=MAX_DECISIONS)

    def __iter__(self) -> Iterator[tuple[int, bytes]]:
        return iter(self.entries)

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, version: int, digest: bytes) -> None:
        """Add a decision that is later than all known ones."""
        self.entries.appendleft((version, digest))

    def add_earlier(self, version: int, digest: bytes) -> None:
        """Insert an earlier decision at its place, unless its version is already known."""
        if all(known != version for known, _ in self.entries):
            self.entries.append((version, digest))
            self.entries = deque(sorted(self.entries, reverse=True), maxlen=MAX_DECISIONS)

    def digest(self, version: int) -> bytes | None:
        """Return the digest decided for a version, or None if it is not known."""
        return dict(self.entries).get(version)

    def latest(self, count: int) -> tuple[tuple[int, bytes], ...]:
        """Return up to ``count`` of the latest decisions, the latest first."""
        return tuple(self.entries)[:count]

    def latest_missing(self, version: int) -> int | None:
        """Return the latest version before ``version`` whose decision is unknown, within the number kept."""
        known = {number for number, _ in self.entries}
        return next(
            (number for number in range(version - 1, max(-1, version - MAX_DECISIONS), -1) if number not in known),
            None,
        )
