"""The subjects, each a module with ``measure(effort)`` that yields slopes."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from benchmarks.scale.sampling import Effort
from benchmarks.scale.subjects import (
    accord,
    accord_simulated,
    decide,
    decide_tenants,
    discovery,
    document,
    gossip,
    links,
    members,
    members_simulated,
    process,
    quota,
)
from petrelhall.capacity.records import Slope

SUBJECTS: dict[str, Callable[[Effort], Iterator[Slope]]] = {
    "discovery": discovery.measure,
    "decide": decide.measure,
    "decide-tenants": decide_tenants.measure,
    "members": members.measure,
    "members-simulated": members_simulated.measure,
    "accord": accord.measure,
    "accord-simulated": accord_simulated.measure,
    "quota": quota.measure,
    "gossip": gossip.measure,
    "document": document.measure,
    "links": links.measure,
    "process": process.measure,
}
