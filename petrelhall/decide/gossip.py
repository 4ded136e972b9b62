"""The bytes that gateways send each other: a version, a number of entries of code and units, and these.

Behind them come entries of code and attempts out, for customers whose plan caps those.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

VERSION = b"\x02"
ENTRY = struct.Struct("<IB")
MOST = (256 - len(VERSION) - 1) // ENTRY.size  # a message holds 256 bytes

Entries = list[tuple[int, float]]


def encode(uses: Iterable[tuple[int, float]], opens: Iterable[tuple[int, int]] = ()) -> bytes:
    """Write units sent on by customer, to half a unit, and attempts out."""
    told = [ENTRY.pack(code, min(255, round(units * 2))) for code, units in uses]
    out = [ENTRY.pack(code, min(255, max(0, count))) for code, count in opens]
    return VERSION + bytes([len(told)]) + b"".join(told + out)


def pack(told: dict[int, float], opened: dict[int, int]) -> tuple[bytes, dict[int, float], dict[int, int]]:
    """Write as many as a message holds, attempts out first, and give back the rest."""
    opens, entries = list(opened.items()), list(told.items())
    room = max(0, MOST - len(opens))
    return encode(entries[:room], opens[:MOST]), dict(entries[room:]), dict(opens[MOST:])


def decode(body: bytes) -> tuple[Entries, Entries]:
    """Read uses and attempts out; other versions and junk read as nothing."""
    if body[:1] != VERSION or len(body) < 2 or (len(body) - 2) % ENTRY.size:
        return [], []
    entries = list(ENTRY.iter_unpack(body[2:]))
    return [(code, halves / 2) for code, halves in entries[: body[1]]], entries[body[1] :]
