"""Runs the membership core on sockets: peer messages, timer ticks, excluded servers, and logged changes."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import ujson

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.peers import Peers
from petrelhall.members.boxes import Boxes
from petrelhall.members.core import (
    Changed,
    Dropped,
    Event,
    Leave,
    Members,
    MessageReceived,
    Send,
    Sign,
    Superseded,
    Tick,
)
from petrelhall.members.plan import LOOK_MS, pace
from petrelhall.members.words import KIND
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, now_ms
from petrelhall.operator.settings import Membership as Settings

SERVER_REPORT_INTERVAL_MS = 250.0  # between two counts of the gateways that report a server as bad
BAD_ENDINGS = {Ending.ERROR, Ending.RESET, Ending.TIMEOUT}
GOOD_ENDINGS = {Ending.OK}
MAX_LOG_LINES_PER_S = 200  # changes beyond this are counted, not logged


class Membership:
    """One gateway's part in the membership protocol; created only if the operators' file enables it."""

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        settings: Settings,
        platform: api.Settings,
        name: str,
        seed: int,
        registry: ServerRegistry,
        on_server_list: Callable[[api.ServerList], None],
        is_ready: Callable[[], bool],
        has_successor: Callable[[], bool],
        counts: Counts,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.peers, self.registry, self.on_server_list = loop, peers, registry, on_server_list
        self.is_ready, self.counts, self.log = is_ready, counts, log
        now = now_ms()
        timing = pace(platform.gateways, platform.peer_messages_per_s, settings.share, settings.late_ms)
        # The incarnation is the start time in tenths of a second: it grows with each start, provided that the
        # machine's clock keeps running between them.
        self.core = Members(platform.position, math.floor(now / 100.0), timing, seed, now)
        self.core.has_successor = has_successor
        self.core.quiet = True  # until this process takes clients: before that, the one it replaces sends
        self.ended = False
        self.names = {number: f"{host}:{port}" for number, (host, port) in enumerate(peers.peers)}
        self.names[platform.position] = name
        self.servers = Boxes(settings.boxes_out) if settings.boxes_out else None
        self.servers_checked_ms = now
        self.log_lines = 0
        self.log_second = 0
        peers.datagram_handlers[KIND] = lambda number, content: self.handle(MessageReceived(number, content))
        peers.on_module_datagram = lambda number: self.handle(Sign(number))
        loop.after(LOOK_MS, self.tick)
        self.log_change({"number": self.core.number, "state": "here", "life": self.core.life, "why": "started"})

    def tick(self) -> None:
        """Advance the core and, at its own interval, the exclusion of servers."""
        if self.ended:
            return
        self.loop.after(LOOK_MS, self.tick)
        if self.core.quiet and self.is_ready():
            self.core.quiet = False
        self.handle(Tick())
        now = now_ms()
        if self.servers is not None and now - self.servers_checked_ms >= SERVER_REPORT_INTERVAL_MS:
            self.servers_checked_ms = now
            self.update_excluded_servers(now, self.servers)

    def handle(self, event: Event) -> None:
        """Pass an event to the core and carry out the resulting actions."""
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, Send):
                self.peers.send(action.content, () if action.to is None else (action.to,))
                self.counts.add("members", "words")
            elif isinstance(action, Dropped):
                self.counts.add("members", f"dropped_{action.reason}")
            else:
                self.counts.add("members", action.state)
                self.log_change(self.change_fields(action))

    def change_fields(self, change: Changed) -> dict[str, Any]:
        """Return the logged fields of a member's change."""
        return {"number": change.number, "state": change.state, "life": change.life, "why": change.why}

    def log_change(self, fields: dict[str, Any]) -> None:
        """Log a change as a line of JSON, within the rate limit."""
        now = now_ms()
        if int(now / 1000.0) != self.log_second:
            self.log_second, self.log_lines = int(now / 1000.0), 0
        self.log_lines += 1
        if self.log_lines > MAX_LOG_LINES_PER_S:
            return self.counts.add("members", "lines_dropped")
        text = ujson.dumps({"at_ms": round(now), "self": self.core.life, **fields}, escape_forward_slashes=False)
        self.log(f"member {text}")

    def reachable(self, number: int) -> bool:
        """Return whether it makes sense to ask a member anything: messages between the two arrive in both directions.

        While this is so for no other member yet, every member counts as reachable.
        """
        return number in self.core.side or len(self.core.side) == 1

    def leave(self) -> None:
        """Announce to the other members that this process is shutting down."""
        if not self.core.quiet:
            self.handle(Leave())

    def hand_over(self) -> None:
        """Stop sending: a newer process of this member sends from now on."""
        self.handle(Superseded())
        self.ended = True

    def view(self) -> dict[str, Any]:
        """Return this gateway's view of the members, for ``GET /control/members``."""
        excluded = sorted(self.servers.out) if self.servers is not None else []
        return {**self.core.view(now_ms(), self.names), "boxes_left_out": excluded}

    # Servers

    def record_attempt(self, server: str, ending: Ending) -> None:
        """Record how an attempt at a server ended, where that is evidence for or against the server."""
        if self.servers is not None and (ending in BAD_ENDINGS or ending in GOOD_ENDINGS):
            self.servers.saw(now_ms(), server, ending in BAD_ENDINGS)

    def update_excluded_servers(self, now: float, servers: Boxes) -> None:
        """Report the servers that this gateway finds bad, and exclude those that enough gateways report."""
        own_reports = servers.found(now)
        self.core.accuse(own_reports)
        before = servers.out
        excluded = servers.pool(
            now, self.registry.healthy | before, self.core.accusers(now), own_reports, self.core.pace.observers
        )
        if excluded != before:
            self.registry.excluded = excluded
            for server in sorted(excluded ^ before):
                self.counts.add("members", "boxes_left_out" if server in excluded else "boxes_back")
                self.log_change({"box": server, "state": "left out" if server in excluded else "back"})
            self.on_server_list(self.registry.reassign_pools())
