"""What one process of a run saw and used, written to a file while it runs, so that a killed process leaves its part."""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec

from petrelhall.hollow.network import Traffic
from petrelhall.hollow.usage import resident_bytes
from petrelhall.net.loop import OFFSET_MS, Loop, now_ms
from petrelhall.standins.configurations import Admitted, Applied, Committed, Observation, Refused

FLUSH_MS = 1000.0
LENGTH_BYTES = 4

Kind = Literal["committed", "applied", "admitted", "refused"]


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """One observation, as a file holds it."""

    kind: Kind
    at_ms: float  # by the machine's monotonic clock, which all processes share
    gateway: int
    version: int
    digest: str
    base: int = -1  # of a change that was applied; -1: whole
    change: str = ""

    def observation(self) -> Observation:
        """Give it in the judge's terms."""
        if self.kind == "committed":
            return Committed(self.at_ms, self.version, self.digest, self.change)
        if self.kind == "applied":
            return Applied(self.at_ms, self.gateway, self.version, self.digest, None if self.base < 0 else self.base)
        if self.kind == "admitted":
            return Admitted(self.at_ms, self.gateway, self.version, self.digest)
        return Refused(self.at_ms, self.gateway)


class Used(msgspec.Struct, frozen=True, array_like=True):
    """What a process had used at some time."""

    at_ms: float
    processor_s: float
    resident_bytes: int
    messages_in: int
    messages_out: int
    bytes_in: int
    bytes_out: int
    connections: int  # begun


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """What is written at once."""

    used: Used
    sightings: tuple[Sighting, ...]
    notes: tuple[str, ...]


def shared_ms() -> float:
    """Give the time by the clock that all processes of the machine share."""
    return now_ms() - OFFSET_MS


class Recorder:
    """Collects sightings, and writes them every second."""

    def __init__(self, loop: Loop, path: str, traffic: Traffic) -> None:
        self.loop, self.traffic = loop, traffic
        self.file = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o600)
        self.sightings: list[Sighting] = []
        self.notes: list[str] = []
        loop.after(FLUSH_MS, self.flush_again)

    def add(self, sighting: Sighting) -> None:
        """Take note of a sighting."""
        self.sightings.append(sighting)

    def note(self, text: str) -> None:
        """Take note of something for people."""
        self.notes.append(text)

    def used(self) -> Used:
        """Give what this process has used."""
        traffic = self.traffic
        return Used(
            shared_ms(),
            time.process_time(),
            resident_bytes(),
            traffic.messages_in,
            traffic.messages_out,
            traffic.bytes_in,
            traffic.bytes_out,
            traffic.connections,
        )

    def flush_again(self) -> None:
        """Write, and again after a while."""
        self.flush()
        self.loop.after(FLUSH_MS, self.flush_again)

    def flush(self) -> None:
        """Write what was collected."""
        content = msgspec.msgpack.encode(Batch(self.used(), tuple(self.sightings), tuple(self.notes)))
        os.write(self.file, len(content).to_bytes(LENGTH_BYTES, "big") + content)
        self.sightings.clear()
        self.notes.clear()


def read_batches(path: Path) -> Iterator[Batch]:
    """Read a file, up to a batch that its process had no time to write whole."""
    content, at = path.read_bytes(), 0
    decoder: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)
    while at + LENGTH_BYTES <= len(content):
        size = int.from_bytes(content[at : at + LENGTH_BYTES], "big")
        at += LENGTH_BYTES
        if at + size > len(content):
            return
        yield decoder.decode(content[at : at + size])
        at += size
