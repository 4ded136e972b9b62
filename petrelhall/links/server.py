"""What is known of one server's connections: counts, bounds and what was learned of its idle limit. Pure."""

from __future__ import annotations

from petrelhall.links.connection import ConnectionRecord
from petrelhall.links.limits import NEVER, Survival


class ServerConnections:
    """What is known of one box's connections."""

    __slots__ = (
        "id",
        "address",
        "listed",
        "started",
        "cold_since",
        "survival",
        "idle",
        "busy",
        "opening",
        "bound",
        "bound_changed_at",
        "tokens",
        "tokens_updated_at",
        "last_response_at",
        "refusals",
        "last_refused_at",
        "found_dead_at",
        "peak_in_use",
        "previous_peak_in_use",
        "idle_misses",
        "wasted_preconnects",
        "preconnect_allowed_at",
        "warm_up_at",
        "limits_updated_at",
        "idle_limit_ms",
        "proven_idle_limit_ms",
        "keep_alive_hint_ms",
        "unsettled_deaths",
        "provisional_idle_limit_ms",
        "suspected_before",
        "probing_suspect",
        "peak_open",
        "open_count",
        "stale_count",
        "recent_ends",
        "recent_ends_since",
        "longest_survived_ms",
        "rest_waits",
    )

    def __init__(self, server_id: str, address: object, bound: float, survival: Survival) -> None:
        self.id, self.address, self.listed, self.survival = server_id, address, True, survival
        self.started = 0.0  # what the list says of its start; 0: long ago
        self.cold_since = 0.0  # since when it has been cold, by the list or by what was seen; 0: long ago
        self.idle: list[ConnectionRecord] = []  # by when they were put away, the latest last
        self.busy = self.opening = 0
        self.bound, self.bound_changed_at = bound, 0.0  # connections at most, and when the bound last changed
        self.tokens, self.tokens_updated_at = 1.0, 0.0  # connections that may be opened now while it is cold
        self.last_response_at, self.refusals, self.last_refused_at, self.found_dead_at = -NEVER, 0, 0.0, 0.0
        self.peak_in_use = self.previous_peak_in_use = self.idle_misses = self.wasted_preconnects = self.rest_waits = 0
        self.preconnect_allowed_at, self.warm_up_at = 0.0, NEVER
        self.limits_updated_at, self.idle_limit_ms, self.proven_idle_limit_ms, self.keep_alive_hint_ms = (
            -NEVER,
            NEVER,
            NEVER,
            NEVER,
        )
        self.unsettled_deaths: list[tuple[float, float, bool]] = []  # not looked at yet: when, idle ms, seen closing
        self.provisional_idle_limit_ms = NEVER  # shortest idle time among those
        self.suspected_before, self.probing_suspect = (
            0.0,
            False,
        )  # idle since before this: in doubt; one of them is being tried
        self.peak_open = self.open_count = self.stale_count = 0
        self.longest_survived_ms = 0.0  # longest idle time that was survived since the last look
        self.recent_ends, self.recent_ends_since = (
            0,
            -NEVER,
        )  # connections that ended by themselves within SETTLE_MS, and since when

    @property
    def open(self) -> int:
        """Give how many connections there are, coming up, in use or idle."""
        return self.busy + self.opening + len(self.idle)
