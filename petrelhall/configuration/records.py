"""What the control replicas decide: one record for each slot of their consensus."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from petrelhall.configuration.deltas import ChangeId, Delta
from petrelhall.configuration.versions import EMPTY, Number, VersionName

KEPT_OUTCOMES = 16


class ChangeOutcome(Struct, frozen=True, array_like=True):
    """How an operator's change ended: in force as this version, or refused with a reason."""

    change: ChangeId
    version: Number
    in_force: bool
    reason: str


class ControlRecord(Struct, frozen=True, array_like=True):
    """The state of the control plane.

    ``delta`` leads to the staged version, and after its activation to the active one, so that a replica that missed a
    slot can still follow. ``last_number``: the highest version number ever used; none is used twice.
    """

    term: Number
    coordinator: Number
    active: VersionName
    staged: VersionName | None
    delta: Delta | None
    last_number: Number
    outcomes: tuple[ChangeOutcome, ...]

    def outcome(self, change: str) -> ChangeOutcome | None:
        """Give how a change ended, where that is still known."""
        return next((outcome for outcome in self.outcomes if outcome.change == change), None)

    def led_by(self, coordinator: int) -> ControlRecord:
        """Give the record that begins the next term, with another coordinator."""
        return msgspec.structs.replace(self, term=self.term + 1, coordinator=coordinator)

    def staging(self, delta: Delta) -> ControlRecord:
        """Give the record that stages a change."""
        return msgspec.structs.replace(self, staged=delta.target, delta=delta, last_number=delta.target.number)

    def activating(self) -> ControlRecord:
        """Give the record that makes the staged version the active one."""
        assert self.staged is not None and self.delta is not None
        ended = ChangeOutcome(self.delta.change, self.staged.number, True, "")
        return msgspec.structs.replace(self, active=self.staged, staged=None, outcomes=self.with_outcome(ended))

    def dropping(self, reason: str) -> ControlRecord:
        """Give the record that drops the staged version."""
        assert self.staged is not None and self.delta is not None
        ended = ChangeOutcome(self.delta.change, self.staged.number, False, reason)
        return msgspec.structs.replace(self, staged=None, delta=None, outcomes=self.with_outcome(ended))

    def with_outcome(self, outcome: ChangeOutcome) -> tuple[ChangeOutcome, ...]:
        """Give the outcomes that are kept, with one more."""
        return (*self.outcomes, outcome)[-KEPT_OUTCOMES:]


FIRST_RECORD = ControlRecord(0, 0, EMPTY, None, None, 0, ())

DECODER: msgspec.msgpack.Decoder[ControlRecord] = msgspec.msgpack.Decoder(ControlRecord)


def encode_record(record: ControlRecord) -> bytes:
    """Write a record as the consensus' document."""
    return msgspec.msgpack.encode(record)


def decode_record(content: bytes) -> ControlRecord:
    """Read a record; ``msgspec.DecodeError`` where it is none."""
    return DECODER.decode(content)
