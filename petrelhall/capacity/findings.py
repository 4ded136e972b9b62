"""What was found before the slopes were measured, held against them. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from petrelhall.capacity.figures import Quantity
from petrelhall.capacity.records import Record, Slope
from petrelhall.capacity.tables import IN_BASE_UNITS

NEAR = 1.25  # a measured cost within this factor of an earlier figure confirms it


@dataclass(frozen=True, slots=True)
class Finding:
    """One earlier figure, and the slope that answers to it."""

    subject: str
    slope: str
    size: float
    said: float  # in the quantity's unit
    quantity: Quantity


class Outcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One earlier figure beside the measured one."""

    subject: str
    slope: str
    size: float
    said: float
    measured: float | None  # ``None``: the slope is not in the record
    quantity: Quantity
    spread: float | None  # of the repeats at the nearest measured size: (largest - smallest) / median

    @property
    def factor(self) -> float | None:
        """Give measured / said."""
        return None if self.measured is None else self.measured / self.said

    @property
    def confirmed(self) -> bool:
        """Tell whether the measured cost is near the earlier figure."""
        return self.factor is not None and 1.0 / NEAR <= self.factor <= NEAR


FINDINGS = (
    Finding("failed gateway found", "members.found", 2100.0, 219.0, Quantity.DURATION),
    Finding("cut link found", "members.cut_found", 2100.0, 1050.0, Quantity.DURATION),
    Finding("lease", "accord.lease", 2100.0, 421.0, Quantity.DURATION),
    Finding("change in force, one gateway silent, at most", "accord.change.silent", 2100.0, 716.0, Quantity.DURATION),
    Finding("decision module, a request", "decide.request.cpu", 200.0, 86e-6, Quantity.TURN),
    Finding("decision module, a request", "decide.request.cpu", 19000.0, 141e-6, Quantity.TURN),
    Finding("decision module, memory", "decide.servers.memory", 200.0, 1.0e6, Quantity.MEMORY),
    Finding("decision module, memory", "decide.servers.memory", 19000.0, 11e6, Quantity.MEMORY),
    Finding("whole list of servers, bytes", "discovery.whole_list.bytes", 19000.0, 2.6e6, Quantity.STATE_BYTES),
    Finding("whole list of servers, one turn", "discovery.whole_list.cpu", 19000.0, 0.107, Quantity.TURN),
    Finding("change of one entry, one turn", "discovery.change.cpu", 19000.0, 0.0034, Quantity.TURN),
)


def outcomes(record: Record) -> tuple[Outcome, ...]:
    """Hold each earlier figure against the record, at the size that it was said for."""
    slopes = {slope.name: slope for slope in record.slopes}
    return tuple(outcome(finding, slopes.get(finding.slope)) for finding in FINDINGS)


def outcome(finding: Finding, slope: Slope | None) -> Outcome:
    """Hold one earlier figure against its slope, if that is in the record."""
    measured = spread = None
    if slope is not None:
        measured = slope.at(finding.size) * IN_BASE_UNITS[slope.unit]
        spread = min(zip(slope.sizes, slope.spread, strict=True), key=lambda pair: abs(pair[0] - finding.size))[1]
    return Outcome(finding.subject, finding.slope, finding.size, finding.said, measured, finding.quantity, spread)
