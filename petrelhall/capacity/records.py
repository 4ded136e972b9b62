"""The record of measured costs: what `benchmarks/scale` writes and what the capacity tables are worked out from."""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path

import msgspec

RECORD_FORMAT = 1


class Curve(str, Enum):
    """How a cost grows with the size, and what its coefficients mean."""

    CONSTANT = "constant"  # (a,): a
    LINEAR = "linear"  # (a, b): a + b * size
    LOGARITHMIC = "logarithmic"  # (a, b): a + b * ln(size)
    QUADRATIC = "quadratic"  # (a, b, c): a + b * size + c * size ** 2
    POWER = "power"  # (a, b): a * size ** b


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One cost measured at several sizes, and the curve fitted to it."""

    name: str  # dotted and unique, for example "discovery.whole_list.cpu"
    title: str  # one sentence: what was measured
    unit: str  # of the values: "ms", "us", "bytes", "bytes/s", "messages/s", "MiB"
    variable: str  # what grows: "servers", "gateways", "tenants", "routes", ...
    sizes: tuple[float, ...]
    values: tuple[float, ...]  # the median of the repeats at each size
    spread: tuple[float, ...]  # (largest - smallest) / median of the repeats at each size
    curve: Curve
    coefficients: tuple[float, ...]
    error: float  # the largest relative residual of the fit at a measured size
    command: str  # that repeats the measurement
    leaves_out: str  # one sentence

    def at(self, size: float) -> float:
        """Give the fitted cost at a size, in ``unit``; never below 0."""
        first: float = self.coefficients[0]
        others = self.coefficients[1:]
        if self.curve is Curve.POWER:
            cost = first * math.pow(size, others[0])
        elif self.curve is Curve.LOGARITHMIC:
            cost = first + others[0] * math.log(max(size, 1.0))
        else:
            cost = first + math.fsum(factor * math.pow(size, power) for power, factor in enumerate(others, 1))
        return max(0.0, cost)

    def extrapolation(self, size: float) -> float:
        """Give how far a size lies beyond the largest measured one, as a factor (1 or less: not beyond)."""
        return size / max(self.sizes)


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All slopes, with the machine and the program that they were measured on."""

    format: int
    machine: str  # processor and cores
    python: str
    commit: str
    measured_on: str  # ISO date
    slopes: tuple[Slope, ...]

    def slope(self, name: str) -> Slope:
        """Give a slope by its name (KeyError)."""
        for slope in self.slopes:
            if slope.name == name:
                return slope
        raise KeyError(name)


def read_record(path: Path) -> Record:
    """Read a record (OSError, msgspec.ValidationError)."""
    return msgspec.json.decode(path.read_bytes(), type=Record)


def write_record(path: Path, record: Record) -> None:
    """Write a record, indented, so that a change of one figure is a change of one line (OSError)."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
