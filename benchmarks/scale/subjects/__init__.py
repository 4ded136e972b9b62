"""The subjects, each a module with ``measure(effort)`` that yields slopes."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from benchmarks.scale.sampling import Effort
from benchmarks.scale.subjects import decide, discovery
from petrelhall.capacity.records import Slope

SUBJECTS: dict[str, Callable[[Effort], Iterator[Slope]]] = {
    "discovery": discovery.measure,
    "decide": decide.measure,
}
