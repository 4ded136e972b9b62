"""The messages of agreement: MessagePack in a frame of kind, version, fleet and a CRC-32; at most 256 bytes.

Every message carries the incarnation of its sender's process; an answer names the incarnation that it answers, and
what it answers.
"""

from __future__ import annotations

import struct
import zlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

FRAME_KIND, VERSION = 0x41, 1
MAX_MESSAGE_BYTES = 256
FRAME, SUM = struct.Struct("<BBHH"), struct.Struct("<I")
PIECE_BYTES = 160  # bytes of a document in one message
MAX_REASON_BYTES = 60  # characters of a reason told
MAX_DECISIONS = 6  # decisions told at once
NO_LEASE, EITHER_LEASE, FULL_LEASE = (
    0,
    1,
    2,
)  # a lease: none, on this version or the one before by the stricter of both, on this one

Digest = Annotated[bytes, Meta(max_length=16)]
Whole = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class Message(Struct, frozen=True, array_like=True):
    """What all messages have."""

    incarnation: Whole


class Ask(Message, frozen=True, array_like=True, tag=1):
    """Asks a voter for a lease, and says that nothing is served under an earlier version any more."""

    nonce: Whole
    version: Whole
    digest: Digest
    lease_ms: Whole
    wants_lease: bool  # a lease; else it only gives back
    holds_previous: bool  # it holds the version before as well


class Grant(Message, frozen=True, array_like=True, tag=2):
    """Answers an ask with a lease of some kind, and tells what is decided and who holds leases."""

    to: Whole
    nonce: Whole
    kind: Whole
    lease_ms: Whole
    version: Whole
    digest: Digest
    holders: bytes


class Prepare(Message, frozen=True, array_like=True, tag=3):
    """Begins a ballot for the slot after a decided version, whose digest is ``before``."""

    slot: Whole
    ballot: Whole
    previous_digest: Digest


class Promise(Message, frozen=True, array_like=True, tag=4):
    """Takes part in no earlier ballot; tells what was accepted, and in which (0: nothing)."""

    to: Whole
    slot: Whole
    ballot: Whole
    accepted: Whole
    digest: Digest


class Accept(Message, frozen=True, array_like=True, tag=5):
    """Asks for the vote on a document."""

    slot: Whole
    ballot: Whole
    digest: Digest
    previous_digest: Digest


class Accepted(Message, frozen=True, array_like=True, tag=6):
    """Votes."""

    to: Whole
    slot: Whole
    ballot: Whole


class Nack(Message, frozen=True, array_like=True, tag=7):
    """A later ballot was promised."""

    to: Whole
    slot: Whole
    ballot: Whole


class Decided(Message, frozen=True, array_like=True, tag=8):
    """Tells the last decisions, the latest first."""

    history: tuple[tuple[int, Digest], ...]


class Query(Message, frozen=True, array_like=True, tag=9):
    """Asked by a voter that starts empty: what is there to be remembered."""

    nonce: Whole


class State(Message, frozen=True, array_like=True, tag=10):
    """Answers with all that a voter must not forget; ``remembers`` tells whether it does.

    ``roots``: the incarnations of all voters, in their order, where they began together and nobody knew of anything.
    """

    to: Whole
    nonce: Whole
    remembers: bool
    version: Whole
    digest: Digest
    promised: Whole
    accepted: Whole
    value: Digest
    roots: tuple[Whole, ...]


class Check(Message, frozen=True, array_like=True, tag=11):
    """Asks whether a document could be served after the decided version whose digest is ``before``.

    A short one comes with it, of a longer one ``content`` is empty.
    """

    slot: Whole
    digest: Digest
    previous_digest: Digest
    content: bytes


class Opinion(Message, frozen=True, array_like=True, tag=12):
    """Answers it. ``verdict``: 0 not known yet, 1 it could, 2 it could not, with the reason."""

    to: Whole
    slot: Whole
    digest: Digest
    verdict: Whole
    reason: str
    votes: bool  # whether ``holders`` says anything
    holders: bytes


class Want(Message, frozen=True, array_like=True, tag=13):
    """Asks for pieces of a document: the first that is missing, and a bit for each of the following."""

    digest: Digest
    first: Whole
    mask: Whole


class Piece(Message, frozen=True, array_like=True, tag=14):
    """A piece of a document of so many bytes."""

    digest: Digest
    index: Whole
    size: Whole
    data: bytes


class Older(Message, frozen=True, array_like=True, tag=15):
    """Asks for the decisions up to a version: how changes ended that were asked for before this process began."""

    version: Whole


AnyMessage = (
    Ask
    | Grant
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Nack
    | Decided
    | Query
    | State
    | Check
    | Opinion
    | Want
    | Piece
    | Older
)
# The messages by which a change comes about, in their order: the tests go through all, so that none is forgotten.
CHANGE_MESSAGES: tuple[type[Message], ...] = (Check, Opinion, Prepare, Promise, Accept, Accepted, Decided, Ask, Grant)

DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)
ENCODER = msgspec.msgpack.Encoder()


def encode(word: AnyMessage, members: int, voters: int) -> bytes:
    """Write a message."""
    body = FRAME.pack(FRAME_KIND, VERSION, members, voters) + ENCODER.encode(word)
    return body + SUM.pack(zlib.crc32(body))


def decode(content: bytes, members: int, voters: int) -> AnyMessage | str:
    """Read a message, or say why it is none: spoilt, or of another version or fleet."""
    if not FRAME.size + SUM.size < len(content) <= MAX_MESSAGE_BYTES or content[0] != FRAME_KIND:
        return "spoilt"
    if SUM.unpack(content[-SUM.size :])[0] != zlib.crc32(content[: -SUM.size]):
        return "spoilt"
    if FRAME.unpack_from(content) != (FRAME_KIND, VERSION, members, voters):
        return "foreign"
    try:
        word: AnyMessage = DECODER.decode(content[FRAME.size : -SUM.size])
    except msgspec.DecodeError:
        return "spoilt"
    return word


def encode_bitmap(numbers: set[int]) -> bytes:
    """Write some numbers as bits."""
    value = sum(1 << number for number in numbers)
    return value.to_bytes((value.bit_length() + 7) // 8, "little")


def decode_bitmap(content: bytes) -> set[int]:
    """Read them."""
    value = int.from_bytes(content, "little")
    return {number for number in range(value.bit_length()) if value >> number & 1}
