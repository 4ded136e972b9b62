"""Which request goes to which pool, and which box belongs to which. Pure."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import xxhash

from petrelhall.operator.settings import Move, Pool, Shift

SCALE = 2.0**64


class PoolError(ValueError):
    """A box that belongs to two pools, or to none where that is an error."""


class Pools:
    """Names the pool of a box by what discovery says of it."""

    def __init__(self, settings: Shift) -> None:
        self.settings = settings
        self.patterns = {pool.name: re.compile(pool.id) for pool in settings.pools if pool.id is not None}

    def of(self, entry: Mapping[str, Any]) -> str:
        """Give a box's pool; the default where none wants it, and PoolError where two do."""
        wanted = [pool.name for pool in self.settings.pools if self.holds(pool, entry)]
        if len(wanted) > 1:
            raise PoolError(f"box {entry.get('id')} belongs to pools {' and '.join(wanted)}")
        if wanted:
            return wanted[0]
        if not self.settings.default:
            raise PoolError(f"box {entry.get('id')} belongs to no pool")
        return self.settings.default

    def holds(self, pool: Pool, entry: Mapping[str, Any]) -> bool:
        """Tell whether a pool's conditions, all that it states, hold for a box."""
        pattern = self.patterns.get(pool.name)
        return all(
            (
                pool.kind is None or entry.get("kind") == pool.kind,
                pool.zone is None or entry.get("zone") == pool.zone,
                pool.cell is None or entry.get("cell") == pool.cell,
                pattern is None or pattern.fullmatch(str(entry.get("id"))) is not None,
            )
        )


def place(move: str, key: str) -> float:
    """Give a key's place in a move, even over [0, 1): the same at every gateway, and another in another move."""
    return xxhash.xxh3_64_intdigest(f"{move}\0{key}".encode()) / SCALE


@dataclass(frozen=True, slots=True)
class Side:
    """Where a request goes: the pools that it may go to, in order."""

    pools: tuple[str, ...]
    target: bool  # it is on the target's side
    judged: bool  # it may be evidence


def side(move: Move, share: float, district: str, request: str, class_name: str, plan_name: str) -> Side:
    """Give a request's side at a share; raising the share moves nobody back.

    Who is left out stays with the source. Where the move spills, the other pool is the last resort.
    """
    out = move.leave_out
    if district in out.districts or class_name in out.classes or plan_name in out.plans:
        return Side(spill(move, move.source, move.target, share), False, False)
    if place(move.name, district if move.by == "district" else request) < share:
        return Side(spill(move, move.target, move.source, share), True, True)
    return Side(spill(move, move.source, move.target, share), False, True)


def spill(move: Move, first: str, other: str, share: float) -> tuple[str, ...]:
    """Give the pools in order: the target takes what the source cannot only once all of it is its own."""
    if first == move.target and move.spill == "source":
        return first, other
    if first == move.source and share >= 1.0:
        return first, other
    return (first,)
