"""What is known of one server's connections: counts, bounds and what was learned of its idle limit. Pure."""

from __future__ import annotations

from petrelhall.links.connection import Link
from petrelhall.links.limits import NEVER, SurvivalEstimate


class Box:
    """What is known of one box's connections."""

    __slots__ = (
        "id",
        "address",
        "listed",
        "started",
        "since",
        "survival",
        "idle",
        "busy",
        "opening",
        "bound",
        "grown",
        "tokens",
        "tokens_at",
        "answered",
        "refusals",
        "refused",
        "dead_at",
        "peak",
        "last_peak",
        "missed",
        "wasted",
        "ahead_from",
        "warm_at",
        "looked",
        "kept_ms",
        "sure_ms",
        "hint_ms",
        "deaths",
        "hold_ms",
        "doubt",
        "trying",
        "most",
        "opens",
        "stale",
        "ends",
        "ends_at",
        "survived",
        "rests",
    )

    def __init__(self, name: str, address: object, bound: float, survival: SurvivalEstimate) -> None:
        self.id, self.address, self.listed, self.survival = name, address, True, survival
        self.started = 0.0  # what the list says of its start; 0: long ago
        self.since = 0.0  # since when it has been cold, by the list or by what was seen; 0: long ago
        self.idle: list[Link] = []  # by when they were put away, the latest last
        self.busy = self.opening = 0
        self.bound, self.grown = bound, 0.0  # connections at most, and when the bound last changed
        self.tokens, self.tokens_at = 1.0, 0.0  # connections that may be opened now while it is cold
        self.answered, self.refusals, self.refused, self.dead_at = -NEVER, 0, 0.0, 0.0
        self.peak = self.last_peak = self.missed = self.wasted = self.rests = 0
        self.ahead_from, self.warm_at = 0.0, NEVER
        self.looked, self.kept_ms, self.sure_ms, self.hint_ms = -NEVER, NEVER, NEVER, NEVER
        self.deaths: list[tuple[float, float, bool]] = []  # not looked at yet: when, idle ms, seen closing
        self.hold_ms = NEVER  # shortest idle time among those
        self.doubt, self.trying = 0.0, False  # idle since before this: in doubt; one of them is being tried
        self.most = self.opens = self.stale = 0
        self.survived = 0.0  # longest idle time that was survived since the last look
        self.ends, self.ends_at = 0, -NEVER  # connections that ended by themselves within DEATH_SPAN_MS, and since when

    @property
    def open(self) -> int:
        """Give how many connections there are, coming up, in use or idle."""
        return self.busy + self.opening + len(self.idle)
