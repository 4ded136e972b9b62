"""Encoding of the messages that gateways send each other about their use of quotas.

A message holds a version, the number of use entries, the use entries (customer code, units, sum) and then entries of
open attempts (customer code, attempts) for customers whose plan limits those. Units are those since the last message.
The sum adds up all units ever reported of the customer, modulo 256: a receiver that missed a message finds the missed
units by the sum of the next one.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

VERSION = b"\x03"
USE_ENTRY, OPEN_ENTRY = struct.Struct("<IBB"), struct.Struct("<IB")
ENTRY_BYTES = 256 - len(VERSION) - 1  # bytes of a message that are left for entries
AGE_CODE = 0  # stands in place of a customer's code: the entry holds the sender's age in seconds
# Half units that one or two lost messages may have reported. A larger difference of sums means that the sender has
# restarted and counts anew.
MAX_MISSED_HALF_UNITS = 16
MAX_SUMS = 20000  # sums kept of sent and of received reports; a full table is cleared

Entries = list[tuple[int, float]]


def encode(
    uses: Iterable[tuple[int, float]], opens: Iterable[tuple[int, int]] = (), sent_sums: dict[int, int] | None = None
) -> bytes:
    """Encode units sent to servers by customer, rounded to half units, and open attempts; updates ``sent_sums``."""
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
    """Encode as many entries as a message holds, open attempts first; return the message and the remaining entries."""
    opens, entries = list(open_attempts.items()), list(units.items())
    max_open_entries = ENTRY_BYTES // OPEN_ENTRY.size
    max_use_entries = (ENTRY_BYTES - OPEN_ENTRY.size * len(opens[:max_open_entries])) // USE_ENTRY.size
    return (
        encode(entries[:max_use_entries], opens[:max_open_entries], sent_sums),
        dict(entries[max_use_entries:]),
        dict(opens[max_open_entries:]),
    )


def decode(
    body: bytes, sender: int = 0, received_sums: dict[tuple[int, int], int] | None = None
) -> tuple[Entries, Entries]:
    """Decode units used and open attempts by customer; other versions and malformed messages give no entries.

    ``received_sums`` holds the last sum by sender and customer, from which the units of missed messages are added.
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
