"""The bytes that gateways send each other: a version, a number of entries of code and units, and these.

Behind them come entries of code and attempts out, for customers whose plan caps those. With the units since the last
message goes the sum of all that was told before, counted round: who missed a message finds what it said in the next.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

VERSION = b"\x03"
USE, OPEN = struct.Struct("<IBB"), struct.Struct("<IB")
ROOM = 256 - len(VERSION) - 1  # bytes that a message holds for entries
AGE = 0  # among the codes of customers: the sender's age in seconds
MISSED = 16  # half units that a lost message or two may have told: more is another count, begun anew
MOST_SUMS = 20000  # kept of what was told and heard: a full table begins anew

Entries = list[tuple[int, float]]


def encode(
    uses: Iterable[tuple[int, float]], opens: Iterable[tuple[int, int]] = (), sums: dict[int, int] | None = None
) -> bytes:
    """Write units sent on by customer, to half a unit, and attempts out; ``sums`` is brought up to date."""
    told = []
    for code, units in uses:
        halves = min(255, round(units * 2))
        total = 0
        if sums is not None and code != AGE:
            if len(sums) >= MOST_SUMS:
                sums.clear()
            total = sums[code] = (sums.get(code, 0) + halves) & 255
        told.append(USE.pack(code, halves, total))
    out = [OPEN.pack(code, min(255, max(0, count))) for code, count in opens]
    return VERSION + bytes([len(told)]) + b"".join(told + out)


def pack(
    told: dict[int, float], opened: dict[int, int], sums: dict[int, int] | None = None
) -> tuple[bytes, dict[int, float], dict[int, int]]:
    """Write as many as a message holds, attempts out first, and give back the rest."""
    opens, entries = list(opened.items()), list(told.items())
    most = ROOM // OPEN.size
    room = (ROOM - OPEN.size * len(opens[:most])) // USE.size
    return encode(entries[:room], opens[:most], sums), dict(entries[room:]), dict(opens[most:])


def decode(body: bytes, sender: int = 0, heard: dict[tuple[int, int], int] | None = None) -> tuple[Entries, Entries]:
    """Read uses and attempts out; other versions and junk read as nothing.

    ``heard`` holds the sums that each sender had told, by which what was missed is made up for.
    """
    end = 2 + USE.size * body[1] if len(body) > 1 else 0
    if body[:1] != VERSION or not 2 <= end <= len(body) or (len(body) - end) % OPEN.size:
        return [], []
    uses = []
    for code, halves, total in USE.iter_unpack(body[2:end]):
        if heard is not None:
            missed = (total - halves - heard.get((sender, code), total - halves)) & 255
            if len(heard) >= MOST_SUMS:
                heard.clear()
            heard[sender, code] = total
            halves += missed if missed <= MISSED else 0
        uses.append((code, halves / 2))
    return uses, [(code, float(count)) for code, count in OPEN.iter_unpack(body[end:])]
