"""Decides which connection a request uses, and which are opened, kept and retired. No I/O; time is a parameter.

The decision module picks the server; this class picks the connection. It holds no sockets: ``links.pool``
reports connection events to it, asks it for connections and closes those it lists in ``closing``. Every connection
has a ``ConnectionRecord`` from the start of connecting until it is closed, and counts against the bounds for all that
time. Each responsibility has a module: ``inventory`` counts connections, ``bounds`` says how
many there may be, ``slow_start`` how fast they are opened, ``opening`` which are opened, ``reuse`` which idle one is
used, ``staleness`` how long they are kept.
"""

from __future__ import annotations

import random
import zlib

from petrelhall.links.bounds import Bounds
from petrelhall.links.connection import ConnectFailure, ConnectionRecord, ConnectionState, Unavailable, Wait
from petrelhall.links.inventory import Inventory
from petrelhall.links.limits import NEVER
from petrelhall.links.opening import ConnectionOpener
from petrelhall.links.reuse import ESTIMATE_MAX_AGE_MS, ReusePolicy
from petrelhall.links.server import ServerConnections
from petrelhall.links.slow_start import SlowStart
from petrelhall.links.staleness import DEATH_SPAN_MS, StalenessTracker
from petrelhall.operator.settings import Links

__all__ = [
    "ServerConnections",
    "ConnectFailure",
    "ConnectionRecord",
    "Unavailable",
    "ConnectionPlan",
    "ConnectionState",
    "Wait",
]

ALIVE_AFTER_RESPONSE_MS = 1500.0  # after a response, a server counts as alive although it refuses a connection
MAX_REFUSALS = 3  # consecutive refusals without a response after which a live server counts as dead
MAX_LIMIT_UPDATES_PER_TICK = 64  # so that thousands of servers do not delay request handling
PEAK_WINDOW_MS = 1000.0  # window for measuring a server's peak use


class ConnectionPlan:
    """All connections of one gateway. ``closing`` lists connections to close, with the cause."""

    def __init__(
        self, settings: Links, capacity: int, idle_ms: float, cold_ms: float = 0.0, gateways: int = 1, seed: int = 0
    ) -> None:
        rng = random.Random(seed)
        self.seed = seed
        self.servers: dict[str, ServerConnections] = {}
        self.window_started_at = 0.0
        self.first_listed_at = 0.0
        self.inventory = inventory = Inventory()
        self.bounds = Bounds(settings, capacity, inventory)
        self.slow_start = SlowStart(settings, cold_ms, max(1, gateways), rng)
        self.staleness = StalenessTracker(settings, idle_ms, inventory, self.slow_start)
        self.reuse = ReusePolicy(settings.reuse, inventory, self.staleness)
        self.opener = ConnectionOpener(settings, inventory, self.bounds, self.slow_start, rng)
        # Direct references to the inventory's objects and bound methods, since callers use them for each request.
        self.idle, self.closing = inventory.idle, inventory.closing
        self.draining, self.counts = inventory.draining, inventory.counts
        self.cold, self.bound = self.slow_start.cold, self.bounds.bound
        self.configure(settings)

    @property
    def open(self) -> int:
        """Number of connections."""
        return self.inventory.open

    @property
    def opening(self) -> int:
        """Number of connections being opened."""
        return self.inventory.opening

    def configure(self, settings: Links) -> None:
        """Apply new settings. Connections beyond the new bounds are closed as they become free."""
        self.settings = self.opener.settings = settings
        self.reuse.order = settings.reuse
        self.bounds.configure(settings)
        self.slow_start.configure(settings)
        self.staleness.configure(settings)
        for server in self.servers.values():
            server.bound = float(settings.per_box)
            server.limits_updated_at = -NEVER
            while server.idle and server.open > settings.per_box:
                self.inventory.retire(server.idle[0], "bound")
        while self.idle and self.inventory.open > self.bounds.most:
            self.inventory.retire(next(iter(self.idle)), "bound")

    # Server list

    def add_server(self, now: float, server_id: str, address: object, started_ms: float | None) -> None:
        """Add or update a server that accepts work; ``started_ms`` is Unix time, 0: long ago, None: not reported.

        At a new address it is treated as a different server: existing connections are retired.
        """
        server = self.servers.get(server_id)
        if server is not None and server.address == address:
            if started_ms and started_ms > server.started:  # restarted at the same address: older connections are dead
                server.started = started_ms
                if started_ms > server.cold_since:
                    self.slow_start.begin(now, server, started_ms)
                for record in [record for record in server.idle if record.opened_at < started_ms]:
                    self.inventory.retire(record, "restarted")
            return
        if server is not None:
            self.remove_server(server_id, "moved")
        if not self.first_listed_at:
            self.first_listed_at = now
        survival = self.staleness.initial_estimate(now)
        server = self.servers[server_id] = ServerConnections(server_id, address, float(self.settings.per_box), survival)
        server.bound_changed_at = server.tokens_updated_at = now
        server.started = started_ms or 0.0
        if started_ms:
            self.slow_start.begin(now, server, started_ms)
        elif started_ms is None and now > self.first_listed_at:  # it joined after the first server list
            self.slow_start.begin(now, server, now)
        if self.settings.warm_up_ms and now == self.first_listed_at and not self.cold(now, server):
            # Each gateway uses its own order, so that gateways started together do not connect to one server at once.
            offset = zlib.crc32(f"{self.seed}/{server_id}".encode()) / 2.0**32
            server.warm_up_at = now + offset * self.settings.warm_up_ms

    def remove_server(self, server_id: str, cause: str = "unlisted") -> None:
        """Remove a draining or missing server: close idle connections now and busy ones after their response."""
        server = self.servers.pop(server_id, None)
        if server is None:
            return
        server.listed = False
        while server.idle:
            self.inventory.retire(server.idle[-1], cause)
        if server.open:
            self.draining[id(server)] = server

    # Requests

    def acquire(self, now: float, server_id: str, repeatable: bool) -> ConnectionRecord | Wait | Unavailable:
        """Return a connection for a request (an idle one, now BUSY, or a new one, OPENING), or Wait or Unavailable.

        ``repeatable``: the request may safely run twice; only such requests use a connection suspected dead.
        """
        server = self.servers.get(server_id)
        if server is None:
            return Unavailable.UNLISTED
        record = self.reuse.pick(now, server, repeatable) if server.idle else None
        if record is not None:
            self.inventory.detach_idle(record)
            record.state, record.idle_ms = ConnectionState.BUSY, now - record.idle_since
            server.busy += 1
            if server.busy + server.opening > server.peak_in_use:
                server.peak_in_use = server.busy + server.opening
            return record
        rest_ms = self.reuse.reuse_delay_left_ms(now, server, self.settings.wait_ms)
        server.idle_misses, server.rest_waits = server.idle_misses + (not rest_ms), server.rest_waits + (rest_ms > 0.0)
        wait = Wait(rest_ms, "resting") if rest_ms else self.opener.required_wait(now, server)
        if wait is not None:
            self.counts["waits." + wait.cause] += 1
            return wait
        record = self.opener.begin(now, server, False)
        if server.busy + server.opening > server.peak_in_use:
            server.peak_in_use = server.busy + server.opening
        return record

    # Connection events

    def on_opened(self, now: float, record: ConnectionRecord) -> None:
        """A connection was established: it is BUSY with its request or, if preconnected, about to be released."""
        server = record.server
        server.opening -= 1
        self.inventory.opening -= 1
        server.busy += 1
        record.state = ConnectionState.BUSY
        if server.found_dead_at:  # it was found dead: treat it as cold, though discovery may not report a restart yet
            server.found_dead_at = 0.0
            self.slow_start.begin(now, server, now)

    def on_connect_failed(self, now: float, record: ConnectionRecord, failure: ConnectFailure) -> bool:
        """A connection was not established. Return whether this indicates that the server is dead.

        A server that has just responded on existing connections and refuses another one is at its connection limit:
        the bound is lowered to what it holds, and grows again gradually.
        """
        server = record.server
        server.opening -= 1
        self.inventory.mark_closed(record)
        self.inventory.opening -= 1
        self.counts["failed." + failure.value] += 1
        if failure is ConnectFailure.OURS:
            self.bounds.lower_total(now)
            return False
        if failure is ConnectFailure.LEFT:
            return False
        established = server.busy + len(server.idle)
        if failure is ConnectFailure.RESET:
            self.bounds.lower(now, server, established)
            return False
        server.refusals = server.refusals + 1 if now - server.last_refused_at < ALIVE_AFTER_RESPONSE_MS else 1
        server.last_refused_at = now
        responsive = established > 0 and now - server.last_response_at < ALIVE_AFTER_RESPONSE_MS
        if failure is ConnectFailure.REFUSED and responsive and server.refusals < MAX_REFUSALS:
            self.bounds.lower(now, server, established)
            return False
        server.found_dead_at = now
        server.unsettled_deaths.clear()  # caused by the end of the server, not by idle time
        server.provisional_idle_limit_ms = NEVER
        while server.idle:
            self.inventory.retire(server.idle[-1], "dead")
        return True

    def on_response(self, now: float, record: ConnectionRecord) -> None:
        """A complete response was received."""
        server = record.server
        server.last_response_at, server.refusals = now, 0
        record.uses += 1
        if record.idle_ms >= 0.0:
            server.survival.record_served(now, record.idle_ms)
            if record.idle_ms > server.longest_survived_ms:
                server.longest_survived_ms = record.idle_ms
        else:
            server.survival.record_fresh_use(now, False)
        if record.preconnected and server.wasted_preconnects:
            server.wasted_preconnects -= 1
        record.preconnected = False
        if record.suspected:  # a suspected connection works: the server was slow, the connections are not dead
            server.suspected_before, server.probing_suspect, record.suspected = 0.0, False, False

    def on_broken(self, now: float, record: ConnectionRecord) -> None:
        """A connection broke during a request before any response byte: it was stale, or its server ended."""
        server = record.server
        if self.staleness.detect_server_end(now, server, server.busy + len(server.idle) - 1):
            return
        if record.idle_ms < 0.0:
            server.survival.record_fresh_use(now, True)
            if server.busy + len(server.idle) > 1 and now - server.last_response_at < ALIVE_AFTER_RESPONSE_MS:
                # Accepted and then closed: the server is over its connection limit.
                self.bounds.lower(now, server, server.busy + len(server.idle) - 1)
            return
        server.stale_count += 1
        self.counts["stale"] += 1
        self.staleness.record_death(now, server, record.idle_ms, False)
        if record.suspected:
            self.staleness.retire_suspected(server)

    def on_response_timeout(self, now: float, record: ConnectionRecord) -> None:
        """A request timed out without a response byte: the server is slow or the connection is dead.

        Connections that were idle at that time may be dead too, so they are probed one at a time. If the server has
        responded on other connections since, this connection was dead.
        """
        server = record.server
        if record.idle_ms < 0.0:
            return
        acquired_at = record.idle_since + record.idle_ms
        if server.last_response_at > acquired_at:
            self.counts["stale"] += 1
            server.stale_count += 1
            self.staleness.record_death(now, server, record.idle_ms, False)
        if record.suspected:
            self.staleness.retire_suspected(server)
        else:
            server.suspected_before = max(server.suspected_before, acquired_at)
            self.counts["doubted"] += 1

    def on_keep_alive_hint(self, record: ConnectionRecord, timeout_s: float) -> None:
        """The server reported how long it keeps idle connections (``Keep-Alive: timeout=``)."""
        record.server.keep_alive_hint_ms = 1000.0 * timeout_s
        record.server.limits_updated_at = -NEVER

    def release(self, now: float, record: ConnectionRecord, keep: bool, cause: str = "spent") -> bool:
        """Release a connection after use; if False is returned, the caller closes it."""
        server = record.server
        server.busy -= 1
        if record.suspected:
            server.probing_suspect, record.suspected = False, False
        if not server.listed:
            cause, keep = "unlisted", False
        elif not keep:
            pass
        elif now >= record.expires_at:
            cause, keep = "age", False
        elif record.max_uses and record.uses >= record.max_uses:
            cause, keep = "uses", False
        # ``server.open`` no longer includes this connection, hence the + 1.
        elif server.open + 1 > server.bound or self.inventory.open > self.bounds.total:
            cause, keep = "bound", False
        if not keep:
            self.inventory.mark_closed(record)
            self.counts["retired." + cause] += 1
            return False
        record.state, record.idle_since, record.idle_ms = ConnectionState.IDLE, now, -1.0
        server.idle.append(record)
        self.idle[record] = None
        return True

    def on_idle_closed(self, now: float, record: ConnectionRecord) -> None:
        """An idle connection was closed by its server."""
        if record.state is not ConnectionState.IDLE:
            return
        server = record.server
        self.inventory.remove_idle(record, "closed")
        self.opener.record_unused(now, record)
        if not self.staleness.detect_server_end(now, server, server.busy + len(server.idle)):
            self.staleness.record_death(now, server, now - record.idle_since, True)

    def on_unsolicited_data(self, now: float, record: ConnectionRecord) -> None:
        """Unsolicited data arrived on an idle connection: drop it, without learning about the idle limit."""
        if record.state is ConnectionState.IDLE:
            self.inventory.remove_idle(record, "spoilt")
            self.opener.record_unused(now, record)

    def on_closed_before_use(self, now: float, record: ConnectionRecord) -> None:
        """A connection just acquired was found closed before anything was written to it."""
        server = record.server
        server.busy -= 1
        if record.suspected:
            server.probing_suspect, record.suspected = False, False
        self.inventory.mark_closed(record)
        self.counts["retired.closed"] += 1
        if not self.staleness.detect_server_end(now, server, server.busy + len(server.idle)):
            self.staleness.record_death(now, server, record.idle_ms, False)

    # Periodic work

    def tick(self, now: float) -> list[ConnectionRecord]:
        """Retire connections idle for too long, evaluate deaths, and return the connections to preconnect."""
        new_window = now - self.window_started_at >= PEAK_WINDOW_MS
        if new_window:
            self.window_started_at = now
        preconnected: list[ConnectionRecord] = []
        limit_updates_left = MAX_LIMIT_UPDATES_PER_TICK
        for server in self.servers.values():
            if server.unsettled_deaths and now - server.unsettled_deaths[0][0] >= DEATH_SPAN_MS:
                self.staleness.evaluate_deaths(now, server)
            if server.idle:
                if limit_updates_left and now - server.limits_updated_at > ESTIMATE_MAX_AGE_MS:
                    limit_updates_left -= 1
                    self.staleness.refresh_limits(now, server)
                while server.idle and now - server.idle[0].idle_since >= server.idle_limit_ms:
                    self.opener.record_unused(now, server.idle[0])
                    self.inventory.retire(server.idle[0], "idle")
            if server.warm_up_at <= now:
                server.warm_up_at = NEVER
                if not server.open and self.opener.required_wait(now, server) is None:
                    preconnected.append(self.opener.begin(now, server, True))
            elif server.idle_misses > 1 and self.settings.ahead:  # a single miss is a first use or chance
                self.opener.preconnect(now, server, preconnected)
            if new_window:
                server.previous_peak_in_use, server.peak_in_use, server.idle_misses, server.rest_waits = (
                    server.peak_in_use,
                    server.busy + server.opening,
                    0,
                    0,
                )
        return preconnected

    # Diagnostics

    def snapshot(self, now: float, max_servers: int = 8) -> list[str]:
        """Return the state as text lines: totals, then the servers with most connections."""
        idle = len(self.idle)
        lines = [
            f"links open={self.inventory.open} idle={idle} opening={self.inventory.opening} "
            f"bound={self.bounds.total_bound(now):g} "
            + " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
        ]
        for server in sorted(self.servers.values(), key=lambda server: (-server.open, server.id))[:max_servers]:
            low, high = server.survival.limit_bounds_ms(now)
            upper_limit = "untold" if high == NEVER else f"{high / 1000.0:.2f}s"
            lines.append(
                f"links box={server.id} busy={server.busy} idle={len(server.idle)} opening={server.opening} "
                f"most={server.peak_open} "
                f"bound={self.bound(now, server):g} opened={server.open_count} stale={server.stale_count} "
                f"limit={low / 1000.0:.2f}s..{upper_limit} cold={int(self.cold(now, server))}"
            )
        return lines
