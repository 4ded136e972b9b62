"""Learns from connections found closed how long a server's idle connections may be used. Pure."""

from __future__ import annotations

from petrelhall.links.inventory import Inventory
from petrelhall.links.limits import MIN_IDLE_LIMIT_MS, NEVER, SurvivalEstimate
from petrelhall.links.server import ServerConnections
from petrelhall.links.slow_start import SlowStart
from petrelhall.operator.settings import Links

# Share of the known idle limit (the platform's, or the one that a server announces) that is used.
IDLE_LIMIT_SHARE = 0.8
# If at least so many connections end together and none is left, the server itself has ended.
MIN_ENDS_OF_SERVER = 3
# Deaths of one server within this time are evaluated together: a server that ends takes all its connections along.
DEATH_SPAN_MS = 150.0
# Idle times whose ratio is at most this are attributed to the same idle limit.
SAME_LIMIT_RATIO = 1.3


class StalenessTracker:
    """Tracks the fate of kept connections, for each server and for all together as a prior for new servers."""

    def __init__(self, settings: Links, platform_idle_ms: float, inventory: Inventory, slow_start: SlowStart) -> None:
        self.platform_idle_ms, self.inventory, self.slow_start = platform_idle_ms, inventory, slow_start
        self.overall_survival: SurvivalEstimate | None = None  # of all servers together: the prior for new ones
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Apply new settings."""
        self.settings = settings.stale
        self.idle_ms = settings.stale.idle_ms or IDLE_LIMIT_SHARE * self.platform_idle_ms

    def initial_estimate(self, now: float) -> SurvivalEstimate:
        """Return the estimate for a server of which nothing has been observed yet."""
        half_life_ms = self.settings.half_life_s * 1000.0
        if self.overall_survival is None:
            self.overall_survival = SurvivalEstimate(now, half_life_ms)
        return SurvivalEstimate(now, half_life_ms, self.overall_survival)

    def refresh_limits(self, now: float, server: ServerConnections) -> None:
        """Compute again up to which idle time a server's connections are kept, and up to which they are safe."""
        server.limits_updated_at = now
        # Only the longest idle time survived since the last refresh is recorded for all servers: enough for the prior.
        if server.longest_survived_ms and self.overall_survival is not None:
            self.overall_survival.record_served(now, server.longest_survived_ms)
            server.longest_survived_ms = 0.0
        tolerance = self.settings.tolerance
        configured_ms = min(self.idle_ms, IDLE_LIMIT_SHARE * server.keep_alive_hint_ms)
        server.idle_limit_ms = min(configured_ms, server.survival.idle_limit_ms(now, tolerance))
        # A request that must not run twice only uses connections whose idle time others have survived.
        safe_ms = server.survival.idle_limit_ms(now, 0.1 * tolerance, explore=False)
        server.proven_idle_limit_ms = min(
            safe_ms, max(self.settings.proven_ms, server.survival.longest_survived_ms(now))
        )

    def record_death(self, now: float, server: ServerConnections, idle_ms: float, seen_closing: bool) -> None:
        """Store a death until it is clear whether the whole server ended.

        Until then, no connection that has been idle as long is used.
        """
        server.unsettled_deaths.append((now, idle_ms, seen_closing))
        server.provisional_idle_limit_ms = min(server.provisional_idle_limit_ms, max(MIN_IDLE_LIMIT_MS, idle_ms))

    def detect_server_end(self, now: float, server: ServerConnections, left: int) -> bool:
        """Return whether a server itself has ended, now that another connection ended and ``left`` remain.

        The server that comes back, or the one that replaces it, is cold, even before discovery lists its start. The
        ended connections say nothing about how long the server keeps idle ones.
        """
        if now - server.recent_ends_since > DEATH_SPAN_MS:
            server.recent_ends, server.recent_ends_since = 0, now
        server.recent_ends += 1
        if left or server.recent_ends < MIN_ENDS_OF_SERVER:
            return False
        self.inventory.counts["boxes.ended"] += 1
        server.unsettled_deaths.clear()
        server.provisional_idle_limit_ms = NEVER
        self.slow_start.begin(now, server, now)
        return True

    def evaluate_deaths(self, now: float, server: ServerConnections) -> None:
        """Learn from deaths that came together: caused by one idle limit, or by the end of the server."""
        idle_times_ms = [max(1.0, idle_ms) for _, idle_ms, _ in server.unsettled_deaths]
        all_ages = (
            len(idle_times_ms) > 2
            and max(idle_times_ms) > SAME_LIMIT_RATIO * min(idle_times_ms)
            and server.unsettled_deaths[-1][0] - server.unsettled_deaths[0][0] < DEATH_SPAN_MS
        )
        # The server ended if connections of different idle times died together and it has not answered since.
        if all_ages and now - server.last_response_at > DEATH_SPAN_MS:
            self.inventory.counts["deaths.of_box"] += len(idle_times_ms)
        else:
            for when, idle_ms, seen_closing in server.unsettled_deaths:
                (server.survival.record_closed if seen_closing else server.survival.record_broken)(when, idle_ms)
                if self.overall_survival is not None:
                    (self.overall_survival.record_closed if seen_closing else self.overall_survival.record_broken)(
                        when, idle_ms
                    )
        server.unsettled_deaths.clear()
        server.provisional_idle_limit_ms = NEVER
        server.limits_updated_at = -NEVER

    def retire_suspected(self, server: ServerConnections) -> None:
        """Retire all suspected connections of a server after one of them proved dead: the others probably are too."""
        while server.idle and server.idle[0].idle_since < server.suspected_before:
            self.inventory.retire(server.idle[0], "doubt")
