"""Which connection a request goes on, and what is opened, kept and retired. Pure: the time is handed in.

The decision module picks the server; this core picks the connection. It holds no socket: a shell (``links.pool``)
tells it of what happens to connections, asks it for one, and carries out what it lists in ``closing``. Every
connection is a ``Link`` from the moment that it begins to come up until it is closed, and counts against the
bounds for all that time. Each of the plan's jobs has a module: ``inventory`` counts connections, ``bounds`` says how
many there may be, ``slow_start`` at which pace they come, ``opening`` which are begun, ``reuse`` which idle one is
taken, ``staleness`` how long they are kept.
"""

from __future__ import annotations

import random
import zlib

from petrelhall.links.bounds import Bounds
from petrelhall.links.connection import ConnectFailure, ConnectionRecord, ConnectionState, Unavailable, Wait
from petrelhall.links.inventory import Inventory
from petrelhall.links.limits import NEVER
from petrelhall.links.opening import Opening
from petrelhall.links.reuse import FRESH_MS, Reuse
from petrelhall.links.server import ServerConnections
from petrelhall.links.slow_start import SlowStart
from petrelhall.links.staleness import SETTLE_MS, Staleness
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

ALIVE_AFTER_RESPONSE_MS = 1500.0  # after an answer in which a server is held to live, though it refused a connection
MAX_REFUSALS = 3  # in a row, without an answer between, after which a server that lived is taken for dead
MAX_LIMIT_UPDATES_PER_TICK = 64  # of those in one tick, so that thousands of servers don't hold up serving
PEAK_WINDOW_MS = 1000.0  # in which the peak of a server's use is taken


class ConnectionPlan:
    """The connections of one gateway. ``closing`` holds what is to be closed, with the cause, until it is taken."""

    def __init__(
        self, settings: Links, room: int, idle_ms: float, cold_ms: float = 0.0, gateways: int = 1, seed: int = 0
    ) -> None:
        rng = random.Random(seed)
        self.seed = seed
        self.servers: dict[str, ServerConnections] = {}
        self.window_started_at = 0.0
        self.first_listed_at = 0.0
        self.inventory = inventory = Inventory()
        self.bounds = Bounds(settings, room, inventory)
        self.slow_start = SlowStart(settings, cold_ms, max(1, gateways), rng)
        self.staleness = Staleness(settings, idle_ms, inventory, self.slow_start)
        self.reuse = Reuse(settings.reuse, inventory, self.staleness)
        self.opener = Opening(settings, inventory, self.bounds, self.slow_start, rng)
        # The same objects as the inventory's and the methods themselves, since shells use them for each request.
        self.idle, self.closing = inventory.idle, inventory.closing
        self.draining, self.counts = inventory.draining, inventory.counts
        self.cold, self.bound = self.slow_start.cold, self.bounds.bound
        self.configure(settings)

    @property
    def open(self) -> int:
        """Give how many connections there are."""
        return self.inventory.open

    @property
    def opening(self) -> int:
        """Give how many connections are coming up."""
        return self.inventory.opening

    def configure(self, settings: Links) -> None:
        """Take other settings over. What is open beyond new bounds is closed as it comes free."""
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

    # The list of boxes

    def add_server(self, now: float, server_id: str, address: object, started_ms: float | None) -> None:
        """A box is in the list and wants work; ``started_ms`` is Unix time, 0 for long ago, None for untold.

        At a new address it is another box, whose connections have nothing to do with those there were.
        """
        server = self.servers.get(server_id)
        if server is not None and server.address == address:
            if started_ms and started_ms > server.started:  # anew where it was: what was open leads nowhere
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
        survival = self.staleness.of_new_server(now)
        server = self.servers[server_id] = ServerConnections(server_id, address, float(self.settings.per_box), survival)
        server.bound_changed_at = server.tokens_updated_at = now
        server.started = started_ms or 0.0
        if started_ms:
            self.slow_start.begin(now, server, started_ms)
        elif started_ms is None and now > self.first_listed_at:  # it joined while we looked on
            self.slow_start.begin(now, server, now)
        if self.settings.warm_up_ms and now == self.first_listed_at and not self.cold(now, server):
            # Each gateway has an order of its own, so that those started together do not meet at one box.
            offset = zlib.crc32(f"{self.seed}/{server_id}".encode()) / 2.0**32
            server.warm_up_at = now + offset * self.settings.warm_up_ms

    def remove_server(self, server_id: str, cause: str = "unlisted") -> None:
        """A box drains or is gone: what is idle is closed now, what is in use after its answer."""
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
        """Give a connection for a request: an idle one, BUSY, or a new one, OPENING; or say to wait, or No.

        ``free`` tells that to run the request twice costs nothing: only such a one goes on a connection in doubt.
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
        rest_ms = self.reuse.resting(now, server, self.settings.wait_ms)
        server.idle_misses, server.rest_waits = server.idle_misses + (not rest_ms), server.rest_waits + (rest_ms > 0.0)
        wait = Wait(rest_ms, "resting") if rest_ms else self.opener.hindered(now, server)
        if wait is not None:
            self.counts["waits." + wait.cause] += 1
            return wait
        record = self.opener.begin(now, server, False)
        if server.busy + server.opening > server.peak_in_use:
            server.peak_in_use = server.busy + server.opening
        return record

    # What happens to connections

    def on_opened(self, now: float, record: ConnectionRecord) -> None:
        """A connection has come up; it is BUSY with its request, or, opened ahead, about to be put away."""
        server = record.server
        server.opening -= 1
        self.inventory.opening -= 1
        server.busy += 1
        record.state = ConnectionState.BUSY
        if server.found_dead_at:  # back from the dead: cold, though the list may not say so yet
            server.found_dead_at = 0.0
            self.slow_start.begin(now, server, now)

    def on_connect_failed(self, now: float, record: ConnectionRecord, failure: ConnectFailure) -> bool:
        """A connection did not come up. Tells whether that speaks of a box that is dead.

        A box that has just answered, on connections that are still there, and refuses another one holds as many
        as it wants: the bound falls to what it holds, and grows again by and by.
        """
        server = record.server
        server.opening -= 1
        self.inventory.mark_closed(record)
        self.inventory.opening -= 1
        self.counts["failed." + failure.value] += 1
        if failure is ConnectFailure.OURS:
            self.bounds.cut_total(now)
            return False
        if failure is ConnectFailure.LEFT:
            return False
        established = server.busy + len(server.idle)
        if failure is ConnectFailure.RESET:
            self.bounds.cut(now, server, established)
            return False
        server.refusals = server.refusals + 1 if now - server.last_refused_at < ALIVE_AFTER_RESPONSE_MS else 1
        server.last_refused_at = now
        responsive = established > 0 and now - server.last_response_at < ALIVE_AFTER_RESPONSE_MS
        if failure is ConnectFailure.REFUSED and responsive and server.refusals < MAX_REFUSALS:
            self.bounds.cut(now, server, established)
            return False
        server.found_dead_at = now
        server.unsettled_deaths.clear()  # those died of their box's end, not of lying idle
        server.provisional_idle_limit_ms = NEVER
        while server.idle:
            self.inventory.retire(server.idle[-1], "dead")
        return True

    def on_response(self, now: float, record: ConnectionRecord) -> None:
        """A whole answer came."""
        server = record.server
        server.last_response_at, server.refusals = now, 0
        record.uses += 1
        if record.idle_ms >= 0.0:
            server.survival.served(now, record.idle_ms)
            if record.idle_ms > server.longest_survived_ms:
                server.longest_survived_ms = record.idle_ms
        else:
            server.survival.fresh_use(now, False)
        if record.preconnected and server.wasted_preconnects:
            server.wasted_preconnects -= 1
        record.preconnected = False
        if record.suspected:  # one of those in doubt serves: the box was slow, the connections are not dead
            server.suspected_before, server.probing_suspect, record.suspected = 0.0, False, False

    def on_broken(self, now: float, record: ConnectionRecord) -> None:
        """A connection broke under a request before anything came back; it had died, or its box has."""
        server = record.server
        if self.staleness.server_ended(now, server, server.busy + len(server.idle) - 1):
            return
        if record.idle_ms < 0.0:
            server.survival.fresh_use(now, True)
            if server.busy + len(server.idle) > 1 and now - server.last_response_at < ALIVE_AFTER_RESPONSE_MS:
                self.bounds.cut(now, server, server.busy + len(server.idle) - 1)  # taken and then ended: one too many
            return
        server.stale_count += 1
        self.counts["stale"] += 1
        self.staleness.died(now, server, record.idle_ms, False)
        if record.suspected:
            self.staleness.drop_doubtful(server)

    def on_response_timeout(self, now: float, record: ConnectionRecord) -> None:
        """A request on a connection timed out without a byte: slow box or dead connection, nobody can tell.

        Its siblings that lay idle meanwhile may be as dead: they are tried one at a time. Where the box has
        answered on other connections meanwhile, the connection was dead.
        """
        server = record.server
        if record.idle_ms < 0.0:
            return
        acquired_at = record.idle_since + record.idle_ms
        if server.last_response_at > acquired_at:
            self.counts["stale"] += 1
            server.stale_count += 1
            self.staleness.died(now, server, record.idle_ms, False)
        if record.suspected:
            self.staleness.drop_doubtful(server)
        else:
            server.suspected_before = max(server.suspected_before, acquired_at)
            self.counts["doubted"] += 1

    def on_keep_alive_hint(self, record: ConnectionRecord, timeout_s: float) -> None:
        """A box said how long it keeps idle connections (``Keep-Alive: timeout=``)."""
        record.server.keep_alive_hint_ms = 1000.0 * timeout_s
        record.server.limits_updated_at = -NEVER

    def release(self, now: float, record: ConnectionRecord, keep: bool, cause: str = "spent") -> bool:
        """A connection is free again; False where it is not kept, and the shell closes it."""
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
        elif (
            server.open + 1 > server.bound or self.inventory.open > self.bounds.total
        ):  # its box no longer counts this one
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
        """An idle connection was ended by its box."""
        if record.state is not ConnectionState.IDLE:
            return
        server = record.server
        self.inventory.remove_idle(record, "closed")
        self.opener.unused(now, record)
        if not self.staleness.server_ended(now, server, server.busy + len(server.idle)):
            self.staleness.died(now, server, now - record.idle_since, True)

    def on_unsolicited_data(self, now: float, record: ConnectionRecord) -> None:
        """Something came on an idle connection that nobody had asked for: it is not used again, and tells no more."""
        if record.state is ConnectionState.IDLE:
            self.inventory.remove_idle(record, "spoilt")
            self.opener.unused(now, record)

    def on_closed_before_use(self, now: float, record: ConnectionRecord) -> None:
        """A connection just taken was seen to be closed before anything was written to it."""
        server = record.server
        server.busy -= 1
        if record.suspected:
            server.probing_suspect, record.suspected = False, False
        self.inventory.mark_closed(record)
        self.counts["retired.closed"] += 1
        if not self.staleness.server_ended(now, server, server.busy + len(server.idle)):
            self.staleness.died(now, server, record.idle_ms, False)

    # From time to time

    def tick(self, now: float) -> list[ConnectionRecord]:
        """Retire what has lain idle too long, look at deaths, and give the connections to open ahead."""
        new_window = now - self.window_started_at >= PEAK_WINDOW_MS
        if new_window:
            self.window_started_at = now
        ahead: list[ConnectionRecord] = []
        limit_updates_left = MAX_LIMIT_UPDATES_PER_TICK
        for server in self.servers.values():
            if server.unsettled_deaths and now - server.unsettled_deaths[0][0] >= SETTLE_MS:
                self.staleness.settle(now, server)
            if server.idle:
                if limit_updates_left and now - server.limits_updated_at > FRESH_MS:
                    limit_updates_left -= 1
                    self.staleness.look(now, server)
                while server.idle and now - server.idle[0].idle_since >= server.idle_limit_ms:
                    self.opener.unused(now, server.idle[0])
                    self.inventory.retire(server.idle[0], "idle")
            if server.warm_up_at <= now:
                server.warm_up_at = NEVER
                if not server.open and self.opener.hindered(now, server) is None:
                    ahead.append(self.opener.begin(now, server, True))
            elif server.idle_misses > 1 and self.settings.ahead:  # one miss is a first use, or chance
                self.opener.open_ahead(now, server, ahead)
            if new_window:
                server.previous_peak_in_use, server.peak_in_use, server.idle_misses, server.rest_waits = (
                    server.peak_in_use,
                    server.busy + server.opening,
                    0,
                    0,
                )
        return ahead

    # For people

    def snapshot(self, now: float, max_servers: int = 8) -> list[str]:
        """Give the state in lines: all, then the boxes with most connections."""
        idle = len(self.idle)
        lines = [
            f"links open={self.inventory.open} idle={idle} opening={self.inventory.opening} "
            f"bound={self.bounds.bound_of_all(now):g} "
            + " ".join(f"{server_id}={count}" for server_id, count in sorted(self.counts.items()))
        ]
        for server in sorted(self.servers.values(), key=lambda server: (-server.open, server.id))[:max_servers]:
            low, high = server.survival.interval(now)
            upper_limit = "untold" if high == NEVER else f"{high / 1000.0:.2f}s"
            lines.append(
                f"links box={server.id} busy={server.busy} idle={len(server.idle)} opening={server.opening} most={server.peak_open} "
                f"bound={self.bound(now, server):g} opened={server.open_count} stale={server.stale_count} "
                f"limit={low / 1000.0:.2f}s..{upper_limit} cold={int(self.cold(now, server))}"
            )
        return lines
