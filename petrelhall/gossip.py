"""The bytes that gateways send each other: a version, then one entry of code and units for each customer."""

from __future__ import annotations

import struct
from collections.abc import Iterable

VERSION = b"\x01"
ENTRY = struct.Struct("<IB")
MOST = (256 - len(VERSION)) // ENTRY.size  # a message holds 256 bytes


def encode(uses: Iterable[tuple[int, float]]) -> bytes:
    """Write units sent on by customer, to half a unit."""
    return VERSION + b"".join(ENTRY.pack(code, min(255, round(units * 2))) for code, units in uses)


def pack(told: dict[int, float]) -> tuple[bytes, dict[int, float]]:
    """Write as many as a message holds, and give back the rest."""
    entries = list(told.items())
    return encode(entries[:MOST]), dict(entries[MOST:])


def decode(body: bytes) -> list[tuple[int, float]]:
    """Read them back; other versions and junk read as nothing."""
    if body[:1] != VERSION or (len(body) - 1) % ENTRY.size:
        return []
    return [(code, halves / 2) for code, halves in ENTRY.iter_unpack(body[1:])]
