"""Takes samples of a cost at several sizes and turns them into a slope."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from benchmarks.scale.fit import fit
from petrelhall.capacity.records import Slope
from petrelhall.gateway.program import GC_THRESHOLD_OBJECTS

MEBIBYTE = 1024.0 * 1024.0
COMMAND = "python -m benchmarks.scale --only {}"


@dataclass(frozen=True)
class Effort:
    """The sizes to measure at and the number of repeats; the defaults are those of the committed record."""

    servers: tuple[int, ...] = (190, 950, 1900, 5000, 10000, 19000)
    gateways: tuple[int, ...] = (21, 50, 100, 300, 700, 1400, 2100)
    planned_members: tuple[int, ...] = (200, 300, 500, 700, 1000, 1400, 2100)
    simulated_members: tuple[int, ...] = (5, 10, 20, 50, 100, 200)
    simulated_voters: tuple[int, ...] = (5, 20, 50, 100, 200)
    tenants: tuple[int, ...] = (1200, 4000, 12000, 40000, 120000)
    snapshot_tenants: tuple[int, ...] = (40, 120, 400, 1200, 4000)
    accounts: tuple[int, ...] = (200, 1000, 4000, 10000, 20000)
    crowded_accounts: tuple[int, ...] = (20000, 40000, 80000, 120000)
    named_tenants: tuple[int, ...] = (60, 200, 600, 2000, 6000, 12000)
    routes: tuple[int, ...] = (58, 200, 580, 2000, 5800)
    repeats: int = 5
    seconds: float = 20.0  # of simulated or real time that a rate is measured over


@dataclass
class Samples:
    """The repeated measurements of one cost, by size."""

    name: str
    title: str
    unit: str
    variable: str
    leaves_out: str
    subject: str = ""  # the module to run again; by default the first part of the name
    by_size: dict[float, list[float]] = field(default_factory=dict)

    def add(self, size: float, *values: float) -> None:
        """Add measurements at a size."""
        self.by_size.setdefault(size, []).extend(values)

    def slope(self) -> Slope:
        """Fit the medians."""
        sizes = tuple(sorted(self.by_size))
        medians = tuple(statistics.median(self.by_size[size]) for size in sizes)
        spread = tuple(spread_of(self.by_size[size]) for size in sizes)
        found = fit(sizes, medians)
        return Slope(
            self.name,
            self.title,
            self.unit,
            self.variable,
            tuple(map(float, sizes)),
            tuple(significant(value) for value in medians),
            tuple(significant(value) for value in spread),
            found.curve,
            found.coefficients,
            significant(found.error),
            COMMAND.format(self.subject or self.name.split(".")[0]),
            self.leaves_out,
        )


def spread_of(values: Sequence[float]) -> float:
    """Give the range of the values relative to their median."""
    median = statistics.median(values)
    return (max(values) - min(values)) / abs(median) if median else 0.0


def significant(value: float) -> float:
    """Round to what a measurement can tell: six significant digits."""
    return float(f"{value:.6g}")


@contextmanager
def gateway_garbage_collection() -> Iterator[None]:
    """Collect garbage as a gateway does while it serves."""
    before = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 50)  # as in Program.run
    try:
        yield
    finally:
        gc.unfreeze()
        gc.set_threshold(*before)


def cpu_ms(work: Callable[..., object], *arguments: Any) -> float:
    """Give the CPU time of this process that one call takes, in ms."""
    began = time.process_time()
    work(*arguments)
    return 1000.0 * (time.process_time() - began)


def held_bytes(make: Callable[..., Any], *arguments: Any) -> float:
    """Give the bytes that what a call makes holds, as tracemalloc counts them."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make(*arguments)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - before
        del made
    finally:
        tracemalloc.stop()
    return float(held)
