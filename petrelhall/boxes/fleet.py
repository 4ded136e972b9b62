"""The servers as discovery lists them, and how discovery's lines become the module's."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from petrelhall.control.bans import Bans
from petrelhall.decide import interface as api
from petrelhall.net.stream import Address, parse_address

PHASES = {"Ready": "healthy", "Terminating": "cordoned", "Gone": "deregistered"}
MOST_EVER = 8192  # ids remembered as once listed


class ServerRegistry:
    """Where each server is, by id: the module knows servers by id, since addresses may vary and change."""

    def __init__(self, areas: tuple[str, ...]) -> None:
        self.areas = {name: index for index, name in enumerate(areas)}
        self.version = 0
        self.addresses: dict[str, Address] = {}
        self.healthy: set[str] = set()
        self.started: dict[str, float | None] = {}  # Unix ms, 0 for long ago, None where the list does not say
        self.entries: dict[str, dict[str, Any]] = {}  # as discovery told them
        self.pool_of: Callable[[dict[str, Any]], str | None] = lambda entry: ""  # a box's pool; None: in no use
        self.on_change: Callable[[], None] = lambda: None  # called after each change, before the module is told
        # The operators' word wins over discovery's: a server taken out drains, whatever the list says, and one
        # put back has started anew at that moment, since it was restarted meanwhile and comes back cold.
        self.exclusions = Bans("")
        self.excluded: frozenset[str] = frozenset()  # what several gateways found bad, for a while
        self.known_ids: set[str] = set()  # ids that were ever listed here: only those may be taken out

    def apply(self, listing: Any, kind: str | None = None) -> api.ServerList:
        """Take in an answer of discovery, all or nothing (ValueError), and give it in the module's terms.

        ``kind`` overrides what the answer says of itself: the list handed over at the start is ``cached``.
        """
        if not isinstance(listing, dict) or not isinstance(listing.get("servers"), list):
            raise ValueError("not a list of servers")
        version, kind = int(listing.get("version") or 0), kind or ("full" if listing.get("full") else "delta")
        read = [self.line(entry) for entry in listing["servers"]]
        told = {
            entry["id"]
            for entry in listing["servers"]
            if entry.get("started_ms") is not None or self.exclusions.back_at(entry["id"])
        }
        if len(self.known_ids) > MOST_EVER:
            self.known_ids = set(self.entries)
        self.known_ids.update(server.address for server, _ in read)
        if kind != "delta":
            self.addresses, self.healthy, self.started, self.entries = {}, set(), {}, {}
        for (server, address), entry in zip(read, listing["servers"], strict=True):
            self.healthy.discard(server.address)
            if server.phase == "deregistered":
                self.addresses.pop(server.address, None)
                self.started.pop(server.address, None)
                self.entries.pop(server.address, None)
                continue
            self.entries[server.address] = entry
            self.addresses[server.address] = address
            self.started[server.address] = server.since_ms if server.address in told else None
            if server.phase == "healthy":
                self.healthy.add(server.address)
        self.version = version
        self.on_change()
        # A full list holds whoever is there: the module drops those that it does not name by itself, and
        # knows Gone among changes only.
        lines = tuple(server for server, _ in read if kind == "delta" or server.phase != "deregistered")
        return api.ServerList(kind, lines)

    def reassign_pools(self) -> api.ServerList:
        """Name the pools of all boxes anew, and give the list in the module's terms."""
        entries = list(self.entries.values())
        return self.apply({"version": self.version, "full": False, "servers": entries})

    def line(self, entry: Any) -> tuple[api.Server, Address]:
        """Read one server."""
        if not isinstance(entry, dict) or not isinstance(entry.get("id"), str) or not entry["id"]:
            raise ValueError("a server without an id")
        phase = PHASES.get(str(entry.get("state")), "cordoned")  # of a state not known here: nothing new
        gone = phase == "deregistered"
        address = ("", 0) if gone and not entry.get("addr") else parse_address(str(entry.get("addr")))
        weight = entry.get("weight")
        pool = self.pool_of(entry)
        out = (pool is None or self.exclusions.holds(entry["id"]) or entry["id"] in self.excluded) and not gone
        since = max(float(entry.get("started_ms") or 0.0), self.exclusions.back_at(entry["id"]))
        server = api.Server(
            entry["id"],
            self.zone(entry.get("zone")),
            int(entry.get("cell") or 0),
            "cordoned" if out else phase,
            1.0 if weight is None else float(weight),
            since,
            pool or "",
        )
        return server, address

    def zone(self, name: Any) -> int:
        """Give a zone's number; one that the settings do not know is nobody's own."""
        return self.areas.get(str(name), -1)
