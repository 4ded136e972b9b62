"""The capacity tables: every figure worked out from the record of slopes for one size. Pure.

A figure is never guessed: one whose slope is not in the record is "not measured". The worst minute of a figure is the
worst of all minutes in ``workload``, each worked out by itself.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from petrelhall.capacity.figures import (
    LEARNERS,
    NOT_BUILT,
    REPLICAS,
    SEEN,
    Definition,
    Quantity,
    Role,
    Term,
    definitions,
)
from petrelhall.capacity.records import RECORD_FORMAT, Record, Slope
from petrelhall.capacity.sizes import Budget, Size
from petrelhall.capacity.workload import Rates, ordinary, worst_minutes

IN_BASE_UNITS = {
    "ms": 1e-3,
    "us": 1e-6,
    "s": 1.0,
    "ms/s": 1e-3,
    "bytes": 1.0,
    "bytes/s": 1.0,
    "MiB": 2.0**20,
    "messages/s": 1.0,
    "calls/s": 1.0,
    "messages": 1.0,
    "connections": 1.0,
    "connections/request": 1.0,
    "descriptors": 1.0,
    "": 1.0,
}
DISTRIBUTION = "distribution."
FITS, MISSES, PARTLY, UNMEASURED, UNBUDGETED = "fits", "misses", "fits so far", "not measured", "no budget"


class RecordError(ValueError):
    """A record that cannot be used for the tables; the text says why."""


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of the tables, worked out."""

    role: Role
    quantity: Quantity
    subject: str
    ordinary: float | None  # in the quantity's unit; ``None``: not measured
    worst: float | None
    worst_minute: str  # the name of the minute that gave it
    budget: float | None
    miss: float | None  # worst / budget: above 1 it misses by that factor
    verdict: str
    source: str  # slopes, sizes and factors
    unmeasured: tuple[str, ...]  # slopes that are not in the record
    extrapolation: float  # the largest of its slopes: how far the size is beyond the measured ones; at most 1: not
    carried_by: str


class Tables(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All figures for one size, with what they were worked out from."""

    size: Size
    budget: Budget
    machine: str
    python: str
    commit: str
    measured_on: str
    ordinary: Rates
    worst_minutes: tuple[Rates, ...]
    figures: tuple[Figure, ...]

    def of(self, role: Role) -> tuple[Figure, ...]:
        """Give the figures of one role."""
        return tuple(figure for figure in self.figures if figure.role is role)


class Worker:
    """Works figures out for one size from one record."""

    def __init__(self, record: Record, size: Size, budget: Budget) -> None:
        if record.format != RECORD_FORMAT:
            raise RecordError(f"format {record.format}: this version reads format {RECORD_FORMAT}")
        self.slopes = {slope.name: slope for slope in record.slopes}
        if len(self.slopes) != len(record.slopes):
            raise RecordError("a name is there twice among the slopes")
        self.size, self.budget = size, budget

    def figure(self, definition: Definition, day: Rates, minutes: tuple[Rates, ...]) -> Figure:
        """Work one figure out."""
        missing = tuple(dict.fromkeys(term.slope for term in definition.terms if not self.has(term)))
        known = [term for term in definition.terms if self.has(term)]
        usable = bool(known) and (definition.partial or not missing)
        calm: float | None = None
        worst: float | None = None
        name = ""
        if usable:
            calm = self.total(definition, known, day)
            worst, name = max(
                ((self.total(definition, known, rates), rates.name) for rates in (day, *minutes)),
                key=lambda pair: pair[0],
            )
        limit = definition.limit(self.budget)
        miss = worst / limit if worst is not None and limit else None
        return Figure(
            definition.role,
            definition.quantity,
            definition.subject,
            calm,
            worst,
            name,
            limit,
            miss,
            verdict(worst, miss, missing),
            "sum of the above" if definition.total else " + ".join(self.told(term, day) for term in definition.terms),
            missing,
            max(
                (self.extrapolation(term, rates) for term in known if term.slope for rates in (day, *minutes)),
                default=0.0,
            ),
            self.carrier(definition),
        )

    def carrier(self, definition: Definition) -> str:
        """Name what carries a figure; a mechanism that nobody has measured does not count as built."""
        if definition.carried_by == LEARNERS and not measured_distribution(self.slopes):
            return f"{NOT_BUILT}: {LEARNERS}"
        return definition.carried_by

    def has(self, term: Term) -> bool:
        """Tell whether a term can be worked out."""
        return not term.slope or term.slope in self.slopes

    def total(self, definition: Definition, terms: Iterable[Term], rates: Rates) -> float:
        """Give the sum of terms."""
        shortest = self.budget.added_latency_s if definition.quantity is Quantity.DELAYED else 0.0
        values = [self.value(term, rates) for term in terms if self.base(term, rates) >= shortest]
        share = math.fsum(values)
        return min(1.0, share) if definition.quantity is Quantity.DELAYED else share

    def value(self, term: Term, rates: Rates) -> float:
        """Give one term's value in its quantity's unit."""
        return self.base(term, rates) * math.prod(factor.of(self.size, rates) for factor in term.factors)

    def base(self, term: Term, rates: Rates) -> float:
        """Give the slope's own value at the term's size; 1 where there is no slope."""
        if not term.slope:
            return 1.0
        slope = self.slopes[term.slope]
        if slope.unit not in IN_BASE_UNITS:
            raise RecordError(
                f"{slope.name}: unit {slope.unit!r} is not one of {', '.join(filter(None, IN_BASE_UNITS))}"
            )
        return slope.at(self.position(term, slope, rates)) * IN_BASE_UNITS[slope.unit]

    def position(self, term: Term, slope: Slope, rates: Rates) -> float:
        """Give the size at which a slope is taken."""
        if term.at == SEEN:
            return rates.tenants_seen
        if term.at == REPLICAS:
            return float(self.size.regions)
        position = getattr(self.size, slope.variable, None)
        if position is None:
            raise RecordError(f"{slope.name}: {slope.variable!r} is not part of a size")
        return float(position)

    def extrapolation(self, term: Term, rates: Rates) -> float:
        """Give how far beyond the measured sizes a slope is taken."""
        slope = self.slopes[term.slope]
        return slope.extrapolation(self.position(term, slope, rates))

    def told(self, term: Term, rates: Rates) -> str:
        """Say in words what a term is: its slope, where it is taken, its factors."""
        parts = []
        if term.slope in self.slopes:
            slope = self.slopes[term.slope]
            position = self.position(term, slope, rates)
            below = ", below the measured sizes" if position < min(slope.sizes) else ""
            parts.append(f"{term.slope}({position:,.0f} {words(term, slope)}{below})")
        elif term.slope:
            parts.append(term.slope)
        else:
            parts.append("counted:")
        factors = " x ".join(factor.value for factor in term.factors)
        if not factors:
            return parts[0]
        return f"{parts[0]} x {factors}" if term.slope else f"{parts[0]} {factors}"


def words(term: Term, slope: Slope) -> str:
    """Name the size at which a slope is taken."""
    return {SEEN: "tenants seen", REPLICAS: "replicas"}.get(term.at, slope.variable)


def measured_distribution(names: Iterable[str]) -> bool:
    """Tell whether the distribution of configurations is among the measured slopes."""
    return any(name.startswith(DISTRIBUTION) for name in names)


def verdict(worst: float | None, miss: float | None, missing: tuple[str, ...]) -> str:
    """Say whether a figure fits its budget."""
    if worst is None:
        return UNMEASURED
    if miss is None:
        return UNBUDGETED
    if miss > 1.0:
        return MISSES
    return PARTLY if missing else FITS


def tables(record: Record, size: Size, budget: Budget | None = None) -> Tables:
    """Work all figures out for one size (RecordError)."""
    budget = budget or Budget(control_machines=size.control_machines)
    worker = Worker(record, size, budget)
    day, minutes = ordinary(size), worst_minutes(size)
    try:
        figures = tuple(worker.figure(definition, day, minutes) for definition in definitions())
    except (OverflowError, ValueError, IndexError) as error:
        raise (
            error if isinstance(error, RecordError) else RecordError(f"a curve cannot be worked out: {error}")
        ) from error
    return Tables(size, budget, record.machine, record.python, record.commit, record.measured_on, day, minutes, figures)
