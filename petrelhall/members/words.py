"""The bytes of a word of membership: who speaks, whom it hears, whom it misses, and how far it knows each to be.

A word is at most 256 bytes, begins with ``KIND`` and ``VERSION`` and ends with a CRC-32 of all before. What has another
length, version, sum or number of members is no word: it reads as None and the caller counts it.

    kind, version      1 + 1
    number             2    of the sender, as its settings have it
    life               4    of the sender's process
    seq                4    rises with each word of that life: one not above the last is old, or came twice
    counter            4    steps that the sender has lived
    of                 2    members in its settings
    flags              1    LEAVING, OLD: it was away and its view is old
    segment            2    first member of the two bitmaps
    hears, misses      each a bit a member of the segment
    table              2 + 1, then 2 for each: low bytes of life and of counter, of members in a row from ``start``
    lives              1, then 11 for each: number, life, counter, what the sender holds it for
    bad                1, then 4 for each: hash of a box that the sender finds bad by its own attempts
    sum                4
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

KIND, VERSION = 0x4D, 1
MOST = 256  # bytes of a datagram
LEAVING, OLD = 1, 2
HERE, MISSED, LEFT = 1, 2, 3  # what a sender holds a member for
SEGMENT = 320  # members that a bitmap covers at most
LIVES_KEPT = 3  # entries of lives that always find room
BAD_MOST = 4
HEAD, TABLE, LIFE, CODE, SUM = (struct.Struct(form) for form in ("<BBHIIIHBH", "<HB", "<HIIB", "<I", "<I"))
OTHERS = LIVES_KEPT * LIFE.size  # bytes that a table leaves to them


@dataclass(frozen=True, slots=True)
class Word:
    """One word as it is said. Bitmaps are whole numbers with bit i for member ``segment`` + i."""

    number: int
    life: int
    seq: int
    counter: int
    of: int
    flags: int = 0
    segment: int = 0
    hears: int = 0
    misses: int = 0
    start: int = 0
    table: bytes = b""
    lives: tuple[tuple[int, int, int, int], ...] = ()
    bad: tuple[int, ...] = ()


def wide(of: int) -> int:
    """Give the bytes of one bitmap."""
    return (min(of, SEGMENT) + 7) // 8


def room(of: int) -> int:
    """Give the bytes that a word has for its table, lives and bad boxes."""
    return MOST - HEAD.size - 2 * wide(of) - TABLE.size - 2 - SUM.size


def encode(word: Word) -> bytes:
    """Write a word."""
    size = wide(word.of)
    body = b"".join(
        (
            HEAD.pack(KIND, VERSION, word.number, word.life, word.seq, word.counter, word.of, word.flags, word.segment),
            word.hears.to_bytes(size, "little"),
            word.misses.to_bytes(size, "little"),
            TABLE.pack(word.start, len(word.table) // 2),
            word.table,
            bytes([len(word.lives)]),
            *(LIFE.pack(*entry) for entry in word.lives),
            bytes([len(word.bad)]),
            *(CODE.pack(code) for code in word.bad),
        )
    )
    return body + SUM.pack(zlib.crc32(body))


def decode(content: bytes) -> Word | None:
    """Read a word; None of anything else."""
    if not HEAD.size + SUM.size < len(content) <= MOST:
        return None
    if content[0] != KIND or content[1] != VERSION or SUM.unpack(content[-4:])[0] != zlib.crc32(content[:-4]):
        return None
    _, _, number, life, seq, counter, of, flags, segment = HEAD.unpack_from(content)
    if number >= of or segment >= of:
        return None
    size, at, end = wide(of), HEAD.size, len(content) - SUM.size
    try:
        hears = int.from_bytes(content[at : at + size], "little")
        misses = int.from_bytes(content[at + size : at + 2 * size], "little")
        at += 2 * size
        start, count = TABLE.unpack_from(content, at)
        at += TABLE.size
        table = content[at : at + 2 * count]
        at += 2 * count
        count, at = content[at], at + 1
        lives = tuple(LIFE.iter_unpack(content[at : at + count * LIFE.size]))
        at += count * LIFE.size
        count, at = content[at], at + 1
        bad = tuple(code for (code,) in CODE.iter_unpack(content[at : at + count * CODE.size]))
        at += count * CODE.size
    except (struct.error, IndexError):
        return None
    if at != end or start >= of or any(entry[0] >= of for entry in lives):
        return None
    return Word(number, life, seq, counter, of, flags, segment, hears, misses, start, table, lives, bad)


def newer(one: int, other: int) -> bool:
    """Tell whether a 32-bit number comes after another, counted round."""
    return 0 < (one - other) & 0xFFFFFFFF < 0x80000000
