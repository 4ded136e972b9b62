"""Documents by digest, fetched in pieces over a network that loses some; bounded in number and size."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterator

from petrelhall.accord.words import PIECE_BYTES

MAX_DOCUMENT_BYTES = 64 * 1024
MAX_DOCUMENTS = 12  # documents held
FETCHED = 4  # at a time
WINDOW = 60  # pieces asked for at once


def digest_of(content: bytes) -> bytes:
    """Give the name of a document."""
    return hashlib.blake2b(content, digest_size=16).digest()


class Documents:
    """What is held, and what is on its way here."""

    def __init__(self) -> None:
        self.held: dict[bytes, bytes] = {}
        self.parts: dict[bytes, list[bytes | None]] = {}  # none known yet: an empty list
        self.sources: dict[bytes, list[int]] = {}

    def put(self, content: bytes, keep: frozenset[bytes] = frozenset()) -> bytes:
        """Hold a document; the oldest goes that is not to be kept."""
        digest = digest_of(content)
        self.held.pop(digest, None)
        self.held[digest] = content
        for old in [name for name in self.held if name not in keep and name != digest]:
            if len(self.held) <= MAX_DOCUMENTS:
                break
            del self.held[old]
        self.parts.pop(digest, None)
        self.sources.pop(digest, None)
        return digest

    def seek(self, digest: bytes, source: int) -> None:
        """Have a document fetched from a member that may hold it; the oldest wish gives way to a new one."""
        if digest in self.held or not digest:
            return
        while len(self.parts) >= FETCHED and digest not in self.parts:
            oldest = next(iter(self.parts))
            del self.parts[oldest]
            self.sources.pop(oldest, None)
        self.parts.setdefault(digest, [])
        known = self.sources.setdefault(digest, [])
        if source not in known:
            known.append(source)

    def next_requests(self) -> Iterator[tuple[int, bytes, int, int]]:
        """Give whom to ask next for which pieces: member, digest, first missing piece and the following as bits."""
        for digest, parts in list(self.parts.items()):
            sources = self.sources[digest]
            sources.append(sources.pop(0))  # in turn: one of them may be gone
            missing = [index for index, part in enumerate(parts) if part is None] or [0]
            first = missing[0]
            mask = sum(1 << index - first for index in missing if index - first < WINDOW)
            yield sources[-1], digest, first, mask if parts else (1 << WINDOW) - 1

    def pieces(self, digest: bytes, first: int, mask: int) -> Iterator[tuple[int, int, bytes]]:
        """Give the pieces that were asked for: index, size of the whole, bytes."""
        content = self.held.get(digest)
        if content is None:
            return
        for step in range(WINDOW):
            start = (first + step) * PIECE_BYTES
            if mask >> step & 1 and start < max(1, len(content)):
                yield first + step, len(content), content[start : start + PIECE_BYTES]

    def piece(self, digest: bytes, index: int, size: int, data: bytes) -> bytes | None:
        """Take a piece in; the document where that was the last of it."""
        parts = self.parts.get(digest)
        if parts is None or not 0 < size <= MAX_DOCUMENT_BYTES:
            return None
        count = math.ceil(size / PIECE_BYTES)
        if not parts:
            parts += [None] * count
        if len(parts) != count or index >= count or len(data) != min(PIECE_BYTES, size - index * PIECE_BYTES):
            return None
        parts[index] = data
        if any(part is None for part in parts):
            return None
        content = b"".join(part for part in parts if part is not None)
        if digest_of(content) != digest:  # a piece of something else under this name: begin anew
            parts.clear()
            return None
        return content
