"""The messages of the consensus: MessagePack in a frame of kind, version, fleet size and CRC-32; at most 256 bytes.

Every message carries the incarnation of its sender's process. An answer also carries the incarnation that it answers
(``to``) and identifies the request by its nonce, slot, ballot or digest.
"""

from __future__ import annotations

import struct
import zlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

FRAME_KIND = 0x41  # first byte of a datagram; it tells these messages from those of other protocols
FRAME_VERSION = 1
MAX_MESSAGE_BYTES = 256
# The header: kind, version, number of members, number of voters.
FRAME_HEADER, CHECKSUM = struct.Struct("<BBHH"), struct.Struct("<I")
PIECE_BYTES = 160  # bytes of a document in one message
MAX_REASON_BYTES = 60  # a reason is truncated to this length
MAX_DECISIONS = 6  # decisions in one message
# Kinds of lease. An EITHER_LEASE covers this version and the previous one: the stricter of both is served.
NO_LEASE = 0
EITHER_LEASE = 1
FULL_LEASE = 2  # on this version alone

Digest = Annotated[bytes, Meta(max_length=16)]
Unsigned = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class Message(Struct, frozen=True, array_like=True):
    """The base of all messages."""

    incarnation: Unsigned  # of the sender


class Ask(Message, frozen=True, array_like=True, tag=1):
    """Requests a lease from a voter, and releases its leases on earlier versions: they are no longer served."""

    nonce: Unsigned
    version: Unsigned
    digest: Digest
    lease_ms: Unsigned
    wants_lease: bool  # otherwise the message only releases leases
    holds_previous: bool  # the sender has the previous version too, so it can serve the stricter of both


class Grant(Message, frozen=True, array_like=True, tag=2):
    """Answers an ``Ask`` with a lease of some kind, and reports the decided version and who holds leases."""

    to: Unsigned
    nonce: Unsigned
    kind: Unsigned
    lease_ms: Unsigned
    version: Unsigned
    digest: Digest
    holders: bytes


class Prepare(Message, frozen=True, array_like=True, tag=3):
    """Begins a ballot for the slot after a decided version, whose digest is ``previous_digest``."""

    slot: Unsigned
    ballot: Unsigned
    previous_digest: Digest


class Promise(Message, frozen=True, array_like=True, tag=4):
    """Promises to take part in no earlier ballot; reports the accepted value and its ballot (0: nothing accepted)."""

    to: Unsigned
    slot: Unsigned
    ballot: Unsigned
    accepted: Unsigned
    digest: Digest


class Accept(Message, frozen=True, array_like=True, tag=5):
    """Asks a voter to vote for a document."""

    slot: Unsigned
    ballot: Unsigned
    digest: Digest
    previous_digest: Digest


class Accepted(Message, frozen=True, array_like=True, tag=6):
    """Votes for the document of an ``Accept``."""

    to: Unsigned
    slot: Unsigned
    ballot: Unsigned


class Nack(Message, frozen=True, array_like=True, tag=7):
    """Rejects a ballot because a later one was promised: ``ballot`` is the later one."""

    to: Unsigned
    slot: Unsigned
    ballot: Unsigned


class Decided(Message, frozen=True, array_like=True, tag=8):
    """Reports the last decisions, the latest first."""

    history: tuple[tuple[int, Digest], ...]


class Query(Message, frozen=True, array_like=True, tag=9):
    """Asks a voter for its durable state; sent by a voter that has started without any."""

    nonce: Unsigned


class State(Message, frozen=True, array_like=True, tag=10):
    """Answers a ``Query`` with all that a voter must not forget; ``remembers`` is False if the sender has lost it too.

    ``founding_incarnations``: the incarnations of all voters, in the order of their numbers, if they started together
    while none of them had any state.
    """

    to: Unsigned
    nonce: Unsigned
    remembers: bool
    version: Unsigned
    digest: Digest
    promised: Unsigned
    accepted: Unsigned
    value: Digest
    founding_incarnations: tuple[Unsigned, ...]


class Check(Message, frozen=True, array_like=True, tag=11):
    """Asks whether a document could be served after the decided version whose digest is ``previous_digest``.

    A short document is included; for a longer one ``content`` is empty.
    """

    slot: Unsigned
    digest: Digest
    previous_digest: Digest
    content: bytes


class Opinion(Message, frozen=True, array_like=True, tag=12):
    """Answers a ``Check``. ``verdict``: 0 not known yet, 1 could be served, 2 could not, for the given reason."""

    to: Unsigned
    slot: Unsigned
    digest: Digest
    verdict: Unsigned
    reason: str
    reports_holders: bool  # whether the sender is a voter whose ``holders`` are valid
    holders: bytes


class Want(Message, frozen=True, array_like=True, tag=13):
    """Requests pieces of a document: the first missing one, and a mask with a bit for it and each following piece."""

    digest: Digest
    first: Unsigned
    mask: Unsigned


class Piece(Message, frozen=True, array_like=True, tag=14):
    """One piece of a document whose total size is ``size`` bytes."""

    digest: Digest
    index: Unsigned
    size: Unsigned
    data: bytes


class Older(Message, frozen=True, array_like=True, tag=15):
    """Requests the decisions up to a version, to learn the outcome of changes proposed before this process started."""

    version: Unsigned


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
# The messages of a change, in their order. The tests inject faults at each of them; with this list none is left out.
CHANGE_MESSAGES: tuple[type[Message], ...] = (Check, Opinion, Prepare, Promise, Accept, Accepted, Decided, Ask, Grant)

DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)
ENCODER = msgspec.msgpack.Encoder()


def encode(message: AnyMessage, members: int, voters: int) -> bytes:
    """Encode a message as a datagram."""
    body = FRAME_HEADER.pack(FRAME_KIND, FRAME_VERSION, members, voters) + ENCODER.encode(message)
    return body + CHECKSUM.pack(zlib.crc32(body))


def decode(content: bytes, members: int, voters: int) -> AnyMessage | str:
    """Decode a datagram, or return why it is dropped: it is corrupt, or of another protocol version or fleet size."""
    if not FRAME_HEADER.size + CHECKSUM.size < len(content) <= MAX_MESSAGE_BYTES or content[0] != FRAME_KIND:
        return "spoilt"
    if CHECKSUM.unpack(content[-CHECKSUM.size :])[0] != zlib.crc32(content[: -CHECKSUM.size]):
        return "spoilt"
    if FRAME_HEADER.unpack_from(content) != (FRAME_KIND, FRAME_VERSION, members, voters):
        return "foreign"
    try:
        message: AnyMessage = DECODER.decode(content[FRAME_HEADER.size : -CHECKSUM.size])
    except msgspec.DecodeError:
        return "spoilt"
    return message


def encode_bitmap(numbers: set[int]) -> bytes:
    """Encode a set of numbers as a little-endian bitmap."""
    value = sum(1 << number for number in numbers)
    return value.to_bytes((value.bit_length() + 7) // 8, "little")


def decode_bitmap(content: bytes) -> set[int]:
    """Decode a set of numbers from a little-endian bitmap."""
    value = int.from_bytes(content, "little")
    return {number for number in range(value.bit_length()) if value >> number & 1}
