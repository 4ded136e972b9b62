"""Documents by digest, transferred in pieces over a lossy network; bounded in number and size."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterator

from petrelhall.accord.words import PIECE_BYTES

MAX_DOCUMENT_BYTES = 64 * 1024
MAX_DOCUMENTS = 12  # stored at once
MAX_TRANSFERS = 4  # documents fetched at once
REQUEST_WINDOW = 60  # pieces requested in one message


def digest_of(content: bytes) -> bytes:
    """Return the digest that identifies a document."""
    return hashlib.blake2b(content, digest_size=16).digest()


class Documents:
    """The stored documents, and those being fetched."""

    def __init__(self) -> None:
        self.held: dict[bytes, bytes] = {}
        # The pieces received of each document being fetched; empty while its size is unknown.
        self.parts: dict[bytes, list[bytes | None]] = {}
        self.sources: dict[bytes, list[int]] = {}  # the members to fetch it from

    def put(self, content: bytes, keep: frozenset[bytes] = frozenset()) -> bytes:
        """Store a document; above the limit, evict the oldest ones that are not in ``keep``."""
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
        """Fetch a document from a member that may have it; above the limit, the oldest transfer is cancelled."""
        if digest in self.held or not digest:
            return
        while len(self.parts) >= MAX_TRANSFERS and digest not in self.parts:
            oldest = next(iter(self.parts))
            del self.parts[oldest]
            self.sources.pop(oldest, None)
        self.parts.setdefault(digest, [])
        known = self.sources.setdefault(digest, [])
        if source not in known:
            known.append(source)

    def next_requests(self) -> Iterator[tuple[int, bytes, int, int]]:
        """Yield the next request of each transfer: member, digest, first missing piece, mask of it and those after."""
        for digest, parts in list(self.parts.items()):
            sources = self.sources[digest]
            sources.append(sources.pop(0))  # in rotation, since one of them may be gone
            missing = [index for index, part in enumerate(parts) if part is None] or [0]
            first = missing[0]
            mask = sum(1 << index - first for index in missing if index - first < REQUEST_WINDOW)
            yield sources[-1], digest, first, mask if parts else (1 << REQUEST_WINDOW) - 1

    def pieces(self, digest: bytes, first: int, mask: int) -> Iterator[tuple[int, int, bytes]]:
        """Yield the requested pieces: index, size of the whole document, data."""
        content = self.held.get(digest)
        if content is None:
            return
        for offset in range(REQUEST_WINDOW):
            start = (first + offset) * PIECE_BYTES
            if mask >> offset & 1 and start < max(1, len(content)):
                yield first + offset, len(content), content[start : start + PIECE_BYTES]

    def piece(self, digest: bytes, index: int, size: int, data: bytes) -> bytes | None:
        """Add a received piece; return the document if that was its last missing one."""
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
        if digest_of(content) != digest:  # some piece belonged to another document: start the transfer again
            parts.clear()
            return None
        return content
