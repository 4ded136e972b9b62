"""A replica's folder: its votes, synced before they are spoken of, and the content, as a whole and a log of changes."""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Iterator

import msgspec

from petrelhall.accord.votes import VoterState
from petrelhall.configuration.deltas import Delta, SnapshotPart
from petrelhall.configuration.document import Assembly, Document
from petrelhall.configuration.errors import ConfigurationError
from petrelhall.configuration.versions import EMPTY, Entry, VersionName
from petrelhall.net.files import write_atomically, write_durably

FORM = 1
MOST_LOG_BYTES = 4 << 20  # after which the whole is written anew
ENTRY_HEADER = struct.Struct(">II")  # size, CRC-32


class StorageError(Exception):
    """A file in the folder that cannot be used, or cannot be written."""


class StoredVotes(msgspec.Struct, frozen=True, array_like=True):
    """A replica's votes and the records that they name."""

    form: int
    replica: int
    memory: VoterState
    documents: tuple[bytes, ...]


class StoredWhole(msgspec.Struct, frozen=True, array_like=True):
    """A whole version."""

    form: int
    version: VersionName
    entries: tuple[Entry, ...]


class Storage:
    """One replica's folder (StorageError where another process holds it)."""

    def __init__(self, folder: str, replica: int) -> None:
        self.lock = take_lock(os.path.join(folder, f"replica-{replica}-lock"))
        self.replica = replica
        self.votes_path = os.path.join(folder, f"replica-{replica}-votes")
        self.whole_path = os.path.join(folder, f"replica-{replica}-content")
        self.log_path = os.path.join(folder, f"replica-{replica}-changes")
        self.logged = 0

    # Votes

    def load_votes(self) -> StoredVotes | None:
        """Read the votes; None where there are none. StorageError where they are spoilt."""
        content = self.read_checked(self.votes_path)
        if content is None:
            return None
        try:
            stored: StoredVotes = msgspec.msgpack.decode(content, type=StoredVotes)
        except msgspec.DecodeError as error:
            raise StorageError(f"{self.votes_path}: {error}") from error
        if (stored.form, stored.replica) != (FORM, self.replica):
            raise StorageError(f"{self.votes_path}: is of form {stored.form} and replica {stored.replica}")
        return stored

    def save_votes(self, memory: VoterState, documents: tuple[bytes, ...]) -> None:
        """Write the votes; they are on the disk when this returns (StorageError)."""
        content = msgspec.msgpack.encode(StoredVotes(FORM, self.replica, memory, documents))
        try:
            write_durably(self.votes_path, checked(content))
        except OSError as error:
            raise StorageError(f"{self.votes_path}: cannot write: {error.strerror}") from error

    # Content

    def load_content(self) -> Document:
        """Read the content as far as it is whole; what is spoilt or missing comes from another replica."""
        document = self.load_whole() or Document()
        for delta in self.load_changes():
            if delta.target.number <= document.name.number:
                continue  # from before the whole was written
            try:
                document.apply(delta)
            except ConfigurationError:
                break
        return document

    def load_whole(self) -> Document | None:
        """Read the whole; None where there is none that can be used."""
        try:
            content = self.read_checked(self.whole_path)
            if content is None:
                return None
            stored: StoredWhole = msgspec.msgpack.decode(content, type=StoredWhole)
        except (StorageError, msgspec.DecodeError):
            return None
        if stored.version == EMPTY:
            return None
        try:
            return Assembly(stored.version, 1).add(SnapshotPart(stored.version, 0, 1, stored.entries))
        except ConfigurationError:
            return None

    def load_changes(self) -> Iterator[Delta]:
        """Read the changes in their order, up to the first that is not whole."""
        try:
            with open(self.log_path, "rb") as file:
                content = file.read()
        except OSError:
            return
        start = 0
        while len(content) - start >= ENTRY_HEADER.size:
            size, crc = ENTRY_HEADER.unpack_from(content, start)
            start += ENTRY_HEADER.size
            encoded = content[start : start + size]
            if len(encoded) < size or zlib.crc32(encoded) != crc:
                return
            start += size
            try:
                yield msgspec.msgpack.decode(encoded, type=Delta)
            except msgspec.DecodeError:
                return

    def save_content(self, document: Document, deltas: tuple[Delta, ...] | None) -> None:
        """Write changes to the log, or the whole where there are none or the log has grown (StorageError)."""
        try:
            if deltas is None or self.logged > MOST_LOG_BYTES:
                self.save_whole(document)
            else:
                self.append(deltas)
        except OSError as error:
            raise StorageError(f"{self.log_path}: cannot write: {error.strerror}") from error

    def save_whole(self, document: Document) -> None:
        """Write the whole, then begin a new log (OSError)."""
        entries = tuple(Entry(key, value) for key, value in document.entries.items())
        write_atomically(self.whole_path, checked(msgspec.msgpack.encode(StoredWhole(FORM, document.name, entries))))
        write_atomically(self.log_path, b"")
        self.logged = 0

    def append(self, deltas: tuple[Delta, ...]) -> None:
        """Write changes at the log's end (OSError)."""
        written = b""
        for delta in deltas:
            encoded = msgspec.msgpack.encode(delta)
            written += ENTRY_HEADER.pack(len(encoded), zlib.crc32(encoded)) + encoded
        with open(self.log_path, "ab") as file:
            file.write(written)
        self.logged += len(written)

    def read_checked(self, path: str) -> bytes | None:
        """Read a file and check its sum; None where there is none."""
        try:
            with open(path, "rb") as file:
                content = file.read()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise StorageError(f"{path}: cannot read: {error.strerror}") from error
        if len(content) < 4 or zlib.crc32(content[4:]).to_bytes(4, "big") != content[:4]:
            raise StorageError(f"{path}: its checksum does not hold")
        return content[4:]


def take_lock(path: str) -> int:
    """Have this process alone vote for its replica, until it ends."""
    try:
        lock = os.open(path, os.O_CREAT | os.O_RDWR, 0o600)
    except OSError as error:
        raise StorageError(f"{path}: cannot open: {error.strerror}") from error
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        raise StorageError(f"{path}: another process holds it") from None
    return lock


def checked(content: bytes) -> bytes:
    """Put a content's sum before it."""
    return zlib.crc32(content).to_bytes(4, "big") + content
