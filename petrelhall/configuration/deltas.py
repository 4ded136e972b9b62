"""What travels of a version: the changes since another one, or the whole in parts."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from petrelhall.configuration.versions import Entry, Number, VersionName

MOST_CHANGE_ID = 64

ChangeId = Annotated[str, Meta(max_length=MOST_CHANGE_ID)]


class Delta(Struct, frozen=True, array_like=True):
    """What leads from one version to another: entries put and keys removed, by one operator's change."""

    base: VersionName
    target: VersionName
    change: ChangeId
    put: tuple[Entry, ...]
    removed: tuple[str, ...]

    @property
    def size(self) -> int:
        """Give about how many bytes it takes."""
        return sum(len(entry.key) + len(entry.value) for entry in self.put) + sum(map(len, self.removed))


class SnapshotPart(Struct, frozen=True, array_like=True):
    """One part of a whole version; its digest is checked once all parts are there."""

    version: VersionName
    part: Number
    parts: Number
    entries: tuple[Entry, ...]
