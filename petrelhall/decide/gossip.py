"""The bytes that gateways send each other: a version, a number of entries of code and units, and these.

Behind them come entries of code and attempts out, for customers whose plan caps those. With the units since the last
message goes the sum of all that was told before, counted round: who missed a message finds what it said in the next.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

VERSION = b"\x03"
USE_ENTRY, OPEN_ENTRY = struct.Struct("<IBB"), struct.Struct("<IB")
ENTRY_BYTES = 256 - len(VERSION) - 1  # bytes that a message holds for entries
AGE_CODE = 0  # among the codes of customers: the sender's age in seconds
MAX_MISSED_HALF_UNITS = 16  # half units that a lost message or two may have told: more is another count, begun anew
MAX_SUMS = 20000  # kept of what was told and heard: a full table begins anew

Entries = list[tuple[int, float]]


def encode(
    uses: Iterable[tuple[int, float]], opens: Iterable[tuple[int, int]] = (), sent_sums: dict[int, int] | None = None
) -> bytes:
    """Write units sent on by customer, to half a unit, and attempts out; ``sums`` is brought up to date."""
    use_entries = []
    for code, units in uses:
        halves = min(255, round(units * 2))
        total = 0
        if sent_sums is not None and code != AGE_CODE:
            if len(sent_sums) >= MAX_SUMS:
                sent_sums.clear()
            total = sent_sums[code] = (sent_sums.get(code, 0) + halves) & 255
        use_entries.append(USE_ENTRY.pack(code, halves, total))
    open_entries = [OPEN_ENTRY.pack(code, min(255, max(0, count))) for code, count in opens]
    return VERSION + bytes([len(use_entries)]) + b"".join(use_entries + open_entries)


def pack(
    units: dict[int, float], open_attempts: dict[int, int], sent_sums: dict[int, int] | None = None
) -> tuple[bytes, dict[int, float], dict[int, int]]:
    """Write as many as a message holds, attempts out first, and give back the rest."""
    opens, entries = list(open_attempts.items()), list(units.items())
    most = ENTRY_BYTES // OPEN_ENTRY.size
    room = (ENTRY_BYTES - OPEN_ENTRY.size * len(opens[:most])) // USE_ENTRY.size
    return encode(entries[:room], opens[:most], sent_sums), dict(entries[room:]), dict(opens[most:])


def decode(
    body: bytes, sender: int = 0, received_sums: dict[tuple[int, int], int] | None = None
) -> tuple[Entries, Entries]:
    """Read uses and attempts out; other versions and junk read as nothing.

    ``heard`` holds the sums that each sender had told, by which what was missed is made up for.
    """
    end = 2 + USE_ENTRY.size * body[1] if len(body) > 1 else 0
    if body[:1] != VERSION or not 2 <= end <= len(body) or (len(body) - end) % OPEN_ENTRY.size:
        return [], []
    uses = []
    for code, halves, total in USE_ENTRY.iter_unpack(body[2:end]):
        if received_sums is not None:
            missed = (total - halves - received_sums.get((sender, code), total - halves)) & 255
            if len(received_sums) >= MAX_SUMS:
                received_sums.clear()
            received_sums[sender, code] = total
            halves += missed if missed <= MAX_MISSED_HALF_UNITS else 0
        uses.append((code, halves / 2))
    return uses, [(code, float(count)) for code, count in OPEN_ENTRY.iter_unpack(body[end:])]
