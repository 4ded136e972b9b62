"""The bytes by which gateways ask each other for units and lend them: at most 256, closed by a CRC-32.

kind, version   1 + 1
life            4    of the sender's process
to              4    life of the receiver's that a loan answers; 0 where the word holds no loan
got             2    number of the last ask to the receiver that a loan answered here; 0 for none
asks, loans     1 + 1
each ask        9    account 4, nonce 2, half units wanted 2, ceiling 1
each loan       9    account 4, nonce of the ask 2, half units lent 2, ceiling 1
sum             4
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

KIND, VERSION = 0x51, 1
MOST = 256
HEAD, ENTRY, SUM = struct.Struct("<BBIIHBB"), struct.Struct("<IHHB"), struct.Struct("<I")
ROOM = (MOST - HEAD.size - SUM.size) // ENTRY.size  # entries of a word
MOST_HALVES = 0xFFFF


@dataclass(frozen=True, slots=True)
class Entry:
    """An ask or a loan. ``halves``: half units; whole numbers, so that what is lent is what is deducted."""

    code: int
    nonce: int
    halves: int
    ceiling: bool


@dataclass(frozen=True, slots=True)
class Word:
    """One word."""

    life: int
    to: int
    got: int = 0
    asks: tuple[Entry, ...] = ()
    loans: tuple[Entry, ...] = ()


def after(one: int, other: int) -> bool:
    """Tell whether a number of an ask comes after another, counted round."""
    return 0 < (one - other) & 0xFFFF < 0x8000


def encode(word: Word) -> bytes:
    """Write a word."""
    body = HEAD.pack(KIND, VERSION, word.life, word.to, word.got, len(word.asks), len(word.loans)) + b"".join(
        ENTRY.pack(entry.code, entry.nonce, entry.halves, entry.ceiling) for entry in (*word.asks, *word.loans)
    )
    return body + SUM.pack(zlib.crc32(body))


def decode(content: bytes) -> Word | None:
    """Read a word; None of anything else."""
    if not HEAD.size + SUM.size <= len(content) <= MOST or content[0] != KIND or content[1] != VERSION:
        return None
    _, _, life, to, got, asks, loans = HEAD.unpack_from(content)
    if len(content) != HEAD.size + (asks + loans) * ENTRY.size + SUM.size:
        return None
    if SUM.unpack(content[-SUM.size :])[0] != zlib.crc32(content[: -SUM.size]):
        return None
    entries = [
        Entry(code, nonce, halves, bool(ceiling))
        for code, nonce, halves, ceiling in ENTRY.iter_unpack(content[HEAD.size : -SUM.size])
    ]
    return Word(life, to, got, tuple(entries[:asks]), tuple(entries[asks:]))
