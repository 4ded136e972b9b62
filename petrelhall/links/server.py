"""State of one server's connections: counts, bounds and the learned idle limit. No I/O."""

from __future__ import annotations

from petrelhall.links.connection import ConnectionRecord
from petrelhall.links.limits import NEVER, SurvivalEstimate


class ServerConnections:
    """State of one server's connections."""

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

    def __init__(self, server_id: str, address: object, bound: float, survival: SurvivalEstimate) -> None:
        self.id, self.address, self.listed, self.survival = server_id, address, True, survival
        self.started = 0.0  # start time reported by discovery; 0: long ago
        self.cold_since = 0.0  # start of its cold phase, as reported or observed; 0: long ago
        self.idle: list[ConnectionRecord] = []  # ordered by when they became idle, the latest last
        self.busy = self.opening = 0
        self.bound, self.bound_changed_at = bound, 0.0  # maximum number of connections, and when it last changed
        self.tokens, self.tokens_updated_at = 1.0, 0.0  # token bucket for opening connections while it is cold
        self.last_response_at, self.refusals, self.last_refused_at, self.found_dead_at = -NEVER, 0, 0.0, 0.0
        self.peak_in_use = self.previous_peak_in_use = self.idle_misses = self.wasted_preconnects = self.rest_waits = 0
        self.preconnect_allowed_at, self.warm_up_at = 0.0, NEVER
        self.limits_updated_at, self.idle_limit_ms, self.proven_idle_limit_ms, self.keep_alive_hint_ms = (
            -NEVER,
            NEVER,
            NEVER,
            NEVER,
        )
        # Not evaluated yet: (time, idle ms, whether the close was observed).
        self.unsettled_deaths: list[tuple[float, float, bool]] = []
        self.provisional_idle_limit_ms = NEVER  # shortest idle time among the unsettled deaths
        # Connections idle since before ``suspected_before`` are suspected dead; one of them is probed at a time.
        self.suspected_before, self.probing_suspect = 0.0, False
        self.peak_open = self.open_count = self.stale_count = 0
        self.longest_survived_ms = 0.0  # longest idle time survived since the last limit update
        # Connections closed by the server within DEATH_SPAN_MS, and since when.
        self.recent_ends, self.recent_ends_since = 0, -NEVER

    @property
    def open(self) -> int:
        """Number of connections: opening, busy and idle."""
        return self.busy + self.opening + len(self.idle)
