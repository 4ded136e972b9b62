"""Remembers which requests may have run, by the id that the client chose, beyond their connection and this process.

A request that must not simply run twice is recorded before its first attempt and kept after it if an attempt may have
run. When its id comes again, on another connection or at the other process of an upgrade, it counts as the same
request: the decision module may repeat it only as its class allows. The processes of one gateway share the records in
a file under ``$TMPDIR``. It has room for a fixed number, and the oldest are replaced.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from petrelhall.decide.interface import server_number
from petrelhall.gateway.handover import is_alive
from petrelhall.links.limits import NEVER
from petrelhall.net.files import shared_path

# A request may be in one of a few slots of the bucket that its id selects.
BUCKETS = 2048
SLOTS_PER_BUCKET = 4
FORMAT_VERSION = 1  # part of the file's name: another form of the slots needs another number
SLOT = struct.Struct("<QdII")  # fingerprint of the id, time of the first attempt, its server, process
FINGERPRINT = struct.Struct("<Q")  # the beginning of a slot
BUCKET_BYTES = SLOT.size * SLOTS_PER_BUCKET
NO_FINGERPRINT = 0  # of an empty slot
NO_PROCESS = 0  # the request has ended


class Slot(NamedTuple):
    """One record as stored."""

    fingerprint: int
    ran_at: float
    server: int
    process: int


@dataclass(frozen=True, slots=True)
class EarlierRun:
    """An earlier request with the same id that may have run."""

    ran_at: float  # Unix ms; when its first attempt that may have run was sent
    server: int  # ``server_number`` of that attempt's server
    in_flight: bool  # another process still has it in hand


class RequestHistory:
    """The records of all processes of one gateway."""

    def __init__(self, gateway: str, log: Callable[[str], None]) -> None:
        self.process = os.getpid()
        self.file = open_records(shared_path(gateway, f"requests-{FORMAT_VERSION}.bin"), log)

    def find(self, fingerprint: int) -> EarlierRun | None:
        """Return the earlier request of an id, if it may have run."""
        bucket = self.read_bucket(fingerprint)
        position = position_in(bucket, fingerprint)
        if position is None:
            return None
        slot = Slot._make(SLOT.unpack_from(bucket, position))
        other = slot.process not in (NO_PROCESS, self.process)
        return EarlierRun(slot.ran_at, slot.server, other and is_alive(slot.process))

    def store(self, fingerprint: int, ran_at: float, server: int, in_flight: bool) -> None:
        """Record a request whose first attempt that may have run was sent at ``ran_at`` (Unix ms)."""
        bucket = self.read_bucket(fingerprint)
        position = position_in(bucket, fingerprint)
        if position is None:
            position = replaceable_position(bucket)
        process = self.process if in_flight else NO_PROCESS
        slot = SLOT.pack(fingerprint, ran_at, server, process)
        os.pwrite(self.file, slot, bucket_offset(fingerprint) + position)

    def forget(self, fingerprint: int) -> None:
        """Remove a request that has surely not run."""
        position = position_in(self.read_bucket(fingerprint), fingerprint)
        if position is not None:
            os.pwrite(self.file, bytes(SLOT.size), bucket_offset(fingerprint) + position)

    def read_bucket(self, fingerprint: int) -> bytes:
        """Read the slots that an id may be in."""
        return os.pread(self.file, BUCKET_BYTES, bucket_offset(fingerprint)).ljust(BUCKET_BYTES, b"\0")


class RequestRecord:
    """The record of one request in flight that must not simply run twice."""

    def __init__(self, history: RequestHistory, request_id: bytes) -> None:
        """Look for an earlier request with the same id, which counts as the same."""
        self.history, self.fingerprint = history, fingerprint_of(request_id)
        self.earlier = history.find(self.fingerprint)
        self.ran_at = self.earlier.ran_at if self.earlier is not None else NEVER
        self.server = self.earlier.server if self.earlier is not None else 0
        self.stored = False

    def begin_attempt(self, now: float, server: str) -> None:
        """Record the request before an attempt: this process may be killed during it."""
        if self.ran_at == NEVER:
            self.history.store(self.fingerprint, now, server_number(server), True)
            self.stored = True

    def end_attempt(self, sent_at: float, server: str, may_have_run: bool) -> None:
        """Note how an attempt ended."""
        if may_have_run and self.ran_at == NEVER:
            self.ran_at, self.server = sent_at, server_number(server)

    def close(self) -> None:
        """Keep the request if it may have run; it is not in flight any more."""
        if self.ran_at < NEVER:
            self.history.store(self.fingerprint, self.ran_at, self.server, False)
        elif self.stored:
            self.history.forget(self.fingerprint)


def bucket_offset(fingerprint: int) -> int:
    """Return where in the file the bucket of an id begins."""
    return fingerprint % BUCKETS * BUCKET_BYTES


def position_in(bucket: bytes, fingerprint: int) -> int | None:
    """Return where in a bucket the slot of an id begins, if there is one."""
    wanted = FINGERPRINT.pack(fingerprint)
    position = bucket.find(wanted)
    while position % SLOT.size and position >= 0:  # the same bytes within a slot
        position = bucket.find(wanted, position + 1)
    return position if position >= 0 else None


def replaceable_position(bucket: bytes) -> int:
    """Return where in a bucket a new record goes: an empty slot, or the oldest of those that have ended."""
    empty = position_in(bucket, NO_FINGERPRINT)
    if empty is not None:
        return empty
    slots = SLOT.iter_unpack(bucket)
    oldest = min((process, ran_at, index) for index, (_, ran_at, _, process) in enumerate(slots))
    return oldest[2] * SLOT.size


def fingerprint_of(request_id: bytes) -> int:
    """Return the 64 bits that stand for an id, never NO_FINGERPRINT."""
    return xxhash.xxh3_64_intdigest(request_id) or 1


def open_records(path: str, log: Callable[[str], None]) -> int:
    """Open the shared file; where that fails, a file of this process alone, so that the gateway serves all the same."""
    try:
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        os.posix_fallocate(file, 0, BUCKETS * BUCKET_BYTES)  # a later write cannot fail for lack of space
        return file
    except OSError as error:
        log(f"cannot open {path}: {os.strerror(error.errno or 0)}; ids of requests are not shared with other processes")
        return os.memfd_create("requests", os.MFD_CLOEXEC)
