"""Messages between gateways, distributors and control replicas: MessagePack, one tagged union, typed errors.

A gateway (and a distributor, which follows a replica in the same way) sends ``Watch`` and gets one ``Update`` for each.
Distributors send ``Report`` to the coordinator and get a ``Verdict``. Replicas tell each other ``Heartbeat``.
Operators send ``Submit`` and get ``Outcome``, or ``StatusRequest`` and get ``Status``.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from petrelhall.configuration.deltas import ChangeId, Delta, SnapshotPart
from petrelhall.configuration.versions import Entry, Number, VersionName

MOST_MESSAGE_BYTES = 4 * 1024 * 1024
MOST_REASON = 200

OutcomeState = Literal["queued", "staged", "in force", "refused", "elsewhere"]
Reason = Annotated[str, Meta(max_length=MOST_REASON)]


class Refusal(Struct, frozen=True, array_like=True):
    """A gateway's own checks refused the content of a staged version."""

    version: Number
    reason: Reason


class Grant(Struct, frozen=True, array_like=True):
    """A lease on one version, counted from the sending of the watch that is answered."""

    version: VersionName
    lease_ms: Number


class Watch(Struct, frozen=True, array_like=True, tag="watch"):
    """Asks for what came after a version; acknowledges it, releases earlier ones and asks for a lease.

    ``held``: the version in force at the sender: nothing is served under an earlier one any more.
    ``prepared``: the number of the staged version whose content is held and checked, 0 for none.
    ``leased``: the highest version on which the sender has held a lease.
    ``lease_ms``: what is left of its lease; with 0 the watch is answered as soon as a lease is granted.
    ``term``: the latest that the sender heard of.
    ``part``: the part of the whole version ``whole`` that is wanted next, where one is being fetched.
    """

    sender: Number
    incarnation: Number
    sequence: Number
    held: VersionName
    prepared: Number
    leased: Number
    wants_lease: bool
    lease_ms: Number
    term: Number
    wait_ms: Number
    needs_whole: bool = False
    whole: VersionName | None = None
    part: Number = 0
    refusal: Refusal | None = None


class Update(Struct, frozen=True, array_like=True, tag="update"):
    """Answers a watch.

    ``active``: the latest active version that the sender knows of; one that has not got its content leaves
    ``changes`` empty, and is of no use to who wants it.
    ``retry_ms``: the whole is wanted but too many fetch it, come again after that.
    ``detached``: the sender has not heard of a majority of the replicas for long: another is to be asked.
    """

    sequence: Number
    term: Number
    coordinator: Number
    active: VersionName
    staged: VersionName | None
    changes: tuple[Delta, ...] = ()
    part: SnapshotPart | None = None
    grant: Grant | None = None
    retry_ms: Number = 0
    detached: bool = False


class LeaseRequest(Struct, frozen=True, array_like=True):
    """What one gateway's watch says, as the coordinator needs it."""

    gateway: Number
    incarnation: Number
    held: Number
    prepared: Number
    leased: Number
    wants_lease: bool
    refusal: Refusal | None = None


class Report(Struct, frozen=True, array_like=True, tag="report"):
    """Acknowledgements, releases and renewals of many gateways, collected by a distributor."""

    distributor: Number
    incarnation: Number
    sequence: Number
    requests: tuple[LeaseRequest, ...]


class Verdict(Struct, frozen=True, array_like=True, tag="verdict"):
    """Answers a report: a grant to some of its requests, by their index, or to all of them (``granted`` is None).

    Requests that are granted later, once earlier leases are over, come in a further verdict. What cannot be granted is
    not answered: the gateway asks again by itself.
    """

    incarnation: Number
    sequence: Number
    term: Number
    coordinator: Number
    grant: Grant
    granted: tuple[Number, ...] | None


class Heartbeat(Struct, frozen=True, array_like=True, tag="heartbeat"):
    """A coordinator tells the other replicas that it is there."""

    replica: Number
    term: Number


class Submit(Struct, frozen=True, array_like=True, tag="submit"):
    """An operator's change; ``change`` identifies it, so that a repeat is not made twice."""

    change: ChangeId
    put: tuple[Entry, ...]
    removed: tuple[str, ...]
    base: Number | None = None


class Outcome(Struct, frozen=True, array_like=True, tag="outcome"):
    """How a change ended, or how far it is. ``elsewhere``: replica ``coordinator`` is to be asked."""

    change: ChangeId
    state: OutcomeState
    version: Number
    coordinator: Number
    reason: Reason = ""


class StatusRequest(Struct, frozen=True, array_like=True, tag="status?"):
    """An operator asks a control process for its view."""


class Status(Struct, frozen=True, array_like=True, tag="status"):
    """Answers with the view, as JSON."""

    view: str


Message = Watch | Update | Report | Verdict | Heartbeat | Submit | Outcome | StatusRequest | Status

DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()


class MessageError(Exception):
    """Bytes that are no message."""


class MessageTooLargeError(MessageError):
    """More bytes than any message may have."""


class MalformedMessageError(MessageError):
    """Bytes that do not read as one of the messages."""


def encode(message: Message) -> bytes:
    """Write a message."""
    return ENCODER.encode(message)


def decode(content: bytes) -> Message:
    """Read a message, or raise a ``MessageError``."""
    if len(content) > MOST_MESSAGE_BYTES:
        raise MessageTooLargeError(f"{len(content)} bytes")
    try:
        return DECODER.decode(content)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(str(error)) from error
