"""Changes that are kept, so that who is a little behind need not fetch the whole."""

from __future__ import annotations

from collections import deque

from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.versions import VersionName


class History:
    """The latest changes that were put in force, each based on the one before."""

    def __init__(self, kept: int) -> None:
        self.deltas: deque[Delta] = deque(maxlen=kept)

    def add(self, delta: Delta) -> None:
        """Keep a change; one that does not follow the last makes those before useless."""
        if self.deltas and self.deltas[-1].target != delta.base:
            self.deltas.clear()
        self.deltas.append(delta)

    def since(self, held: VersionName, active: VersionName) -> tuple[Delta, ...] | None:
        """Give the changes that lead from a version to the active one; None where not all of them are kept."""
        if held == active:
            return ()
        found: list[Delta] = []
        wanted = active
        for delta in reversed(self.deltas):
            if delta.target != wanted:
                return None
            found.append(delta)
            if delta.base == held:
                return tuple(reversed(found))
            wanted = delta.base
        return None
