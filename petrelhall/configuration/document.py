"""One version's entries, with the sum of their hashes carried on from change to change."""

from __future__ import annotations

from collections.abc import Iterable

from petrelhall.configuration.deltas import Delta, SnapshotPart
from petrelhall.configuration.errors import DigestMismatchError, GapError, UnknownEntryError
from petrelhall.configuration.versions import EMPTY, MODULUS, Entry, VersionName, entry_hash, version_name

MOST_PART_BYTES = 512 * 1024


class Document:
    """The entries of the version that is held; a change is checked before anything is altered."""

    def __init__(self) -> None:
        self.entries: dict[str, bytes] = {}
        self.total = 0
        self.name = EMPTY

    def total_after(self, put: Iterable[Entry], removed: Iterable[str]) -> int:
        """Give the sum of hashes that a change would lead to; raise where it does not fit what is held."""
        total, seen = self.total, set[str]()
        for key in removed:
            if key not in self.entries or key in seen:
                raise UnknownEntryError(f"entry {key!r} cannot be removed: it is not there")
            seen.add(key)
            total -= entry_hash(key, self.entries[key])
        for entry in put:
            if entry.key in seen:
                raise UnknownEntryError(f"entry {entry.key!r} is named twice")
            seen.add(entry.key)
            if entry.key in self.entries:
                total -= entry_hash(entry.key, self.entries[entry.key])
            total += entry_hash(entry.key, entry.value)
        return total % MODULUS

    def delta(self, number: int, change: str, put: tuple[Entry, ...], removed: tuple[str, ...]) -> Delta:
        """Make the change that leads from what is held to a version of this number."""
        return Delta(self.name, version_name(number, self.total_after(put, removed)), change, put, removed)

    def check(self, delta: Delta) -> int:
        """Check that a change leads from what is held to what it says, and give the sum that it leads to."""
        if delta.base != self.name:
            raise GapError(self.name, delta.base)
        total = self.total_after(delta.put, delta.removed)
        found = version_name(delta.target.number, total)
        if found != delta.target:
            raise DigestMismatchError(delta.target, found)
        return total

    def apply(self, delta: Delta) -> None:
        """Take a change in, whole or, with an error raised, not at all."""
        total = self.check(delta)
        for key in delta.removed:
            del self.entries[key]
        for entry in delta.put:
            self.entries[entry.key] = entry.value
        self.total, self.name = total, delta.target


class Assembly:
    """A whole version that is being put together from its parts, in their order."""

    def __init__(self, version: VersionName, parts: int) -> None:
        self.version, self.parts, self.next_part = version, parts, 0
        self.document = Document()

    def add(self, part: SnapshotPart) -> Document | None:
        """Take the next part in; the document with the last, its digest checked. Any other part is ignored."""
        if part.version != self.version or part.part != self.next_part or part.parts != self.parts:
            return None
        self.next_part += 1
        document = self.document
        for entry in part.entries:
            if entry.key in document.entries:
                raise UnknownEntryError(f"entry {entry.key!r} is named twice")
            document.entries[entry.key] = entry.value
            document.total = (document.total + entry_hash(entry.key, entry.value)) % MODULUS
        if self.next_part < self.parts:
            return None
        found = version_name(self.version.number, document.total)
        if found != self.version:
            raise DigestMismatchError(self.version, found)
        document.name = self.version
        return document


class Snapshot:
    """A whole version as it was at one moment, cut into parts of at most so many entries and, but for one, bytes."""

    def __init__(self, document: Document, part_entries: int, part_bytes: int = MOST_PART_BYTES) -> None:
        self.version = document.name
        self.items = list(document.entries.items())
        self.starts = [0]
        size = 0
        for place, (key, value) in enumerate(self.items):
            size += len(key) + len(value)
            first = self.starts[-1]
            if place > first and (place - first >= part_entries or size > part_bytes):
                self.starts.append(place)
                size = len(key) + len(value)

    @property
    def parts(self) -> int:
        """Give the number of parts, at least one."""
        return len(self.starts)

    def part(self, number: int) -> SnapshotPart:
        """Give one part; one past the last is empty."""
        if number >= self.parts:
            return SnapshotPart(self.version, number, self.parts, ())
        end = self.starts[number + 1] if number + 1 < self.parts else len(self.items)
        entries = tuple(Entry(key, value) for key, value in self.items[self.starts[number] : end])
        return SnapshotPart(self.version, number, self.parts, entries)
