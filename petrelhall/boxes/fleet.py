"""The registry of servers listed by service discovery, and its translation for the decision module."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from petrelhall.boxes.claims import AddressClaims
from petrelhall.control.bans import Bans
from petrelhall.decide import interface as api
from petrelhall.net.stream import Address, parse_address

PHASES = {"Ready": "healthy", "Terminating": "cordoned", "Gone": "deregistered"}
MAX_KNOWN_IDS = 8192  # ids remembered as once listed


class ServerRegistry:
    """Servers and their addresses by id; the module knows servers by id only, since addresses may vary and change."""

    def __init__(self, zone_names: tuple[str, ...]) -> None:
        self.zone_indices = {name: index for index, name in enumerate(zone_names)}
        self.version = 0
        self.from_discovery = False  # whether the list is discovery's own, not one handed over at the start
        self.addresses: dict[str, Address] = {}
        self.healthy: set[str] = set()
        self.started: dict[str, float | None] = {}  # Unix ms; 0: long ago; None: not in the list
        self.entries: dict[str, dict[str, Any]] = {}  # as received from discovery
        self.pool_of: Callable[[dict[str, Any]], str | None] = lambda entry: ""  # a server's pool; None: not used
        self.on_change: Callable[[], None] = lambda: None  # called after each change, before the module is notified
        # Exclusions by operators take precedence over discovery: an excluded server drains, whatever the list says. One
        # put back counts as started at that moment, since it was restarted meanwhile and comes back cold.
        self.exclusions = Bans("")
        self.excluded: frozenset[str] = frozenset()  # temporarily excluded: several gateways found them faulty
        self.claims = AddressClaims()
        self.known_ids: set[str] = set()  # ids ever listed here: only those may be excluded

    def apply(self, listing: Any, kind: str | None = None) -> api.ServerList:
        """Apply a response of discovery, all or nothing (ValueError), and return it in the terms of the module.

        ``kind`` overrides the kind that the response states: the list handed over at the start is ``cached``.
        """
        if not isinstance(listing, dict) or not isinstance(listing.get("servers"), list):
            raise ValueError("response contains no list of servers")
        version, kind = int(listing.get("version") or 0), kind or ("full" if listing.get("full") else "delta")
        entries: list[Any] = listing["servers"]
        parsed = [self.parse_entry(entry) for entry in entries]
        others = [self.entries[server_id] for server_id in self.update_claims(parsed, kind)]
        entries = entries + others
        parsed = [
            (self.without_work_if_superseded(server), address)
            for server, address in parsed + [self.parse_entry(entry) for entry in others]
        ]
        with_start_time = {
            entry["id"]
            for entry in entries
            if entry.get("started_ms") is not None or self.exclusions.back_at(entry["id"])
        }
        if len(self.known_ids) > MAX_KNOWN_IDS:
            self.known_ids = set(self.entries)
        self.known_ids.update(server.address for server, _ in parsed)
        if kind != "delta":
            self.addresses, self.healthy, self.started, self.entries = {}, set(), {}, {}
        for (server, address), entry in zip(parsed, entries, strict=True):
            self.healthy.discard(server.address)
            if server.phase == "deregistered":
                self.addresses.pop(server.address, None)
                self.started.pop(server.address, None)
                self.entries.pop(server.address, None)
                continue
            self.entries[server.address] = entry
            self.addresses[server.address] = address
            self.started[server.address] = server.since_ms if server.address in with_start_time else None
            if server.phase == "healthy":
                self.healthy.add(server.address)
        self.version, self.from_discovery = version, self.from_discovery or kind != "cached"
        self.on_change()
        # A full list contains only present servers: the module drops those missing from it by itself, and knows
        # deregistered servers only in deltas.
        servers = tuple(server for server, _ in parsed if kind == "delta" or server.phase != "deregistered")
        return api.ServerList(kind, servers)

    def update_claims(self, parsed: list[tuple[api.Server, Address]], kind: str) -> list[str]:
        """Record where the listed servers are, and return those not listed now that share an address, or did."""
        if kind != "delta":
            self.claims = AddressClaims()
        listed = {server.address for server, _ in parsed}
        affected: dict[str, None] = {}
        for server, address in parsed:
            if server.phase == "deregistered":
                others = self.claims.remove(server.address)
            else:
                others = self.claims.set(server.address, address, server.since_ms)
            affected.update(dict.fromkeys(others))
        if kind != "delta":
            return []
        return [server_id for server_id in affected if server_id not in listed and server_id in self.entries]

    def without_work_if_superseded(self, server: api.Server) -> api.Server:
        """Return a server as it is used: none gets new work whose address another one has taken."""
        if server.phase == "healthy" and self.claims.is_superseded(server.address):
            return replace(server, phase="cordoned")
        return server

    def listing(self) -> dict[str, Any]:
        """Return the current list in the form of a response of discovery."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def reassign_pools(self) -> api.ServerList:
        """Assign the pools of all servers again, and return the list in the terms of the module."""
        return self.apply(self.listing() | {"full": False})

    def parse_entry(self, entry: Any) -> tuple[api.Server, Address]:
        """Parse the entry of one server (ValueError)."""
        if not isinstance(entry, dict) or not isinstance(entry.get("id"), str) or not entry["id"]:
            raise ValueError("server entry without an id")
        phase = PHASES.get(str(entry.get("state")), "cordoned")  # unknown state: no new requests
        deregistered = phase == "deregistered"
        address = ("", 0) if deregistered and not entry.get("addr") else parse_address(str(entry.get("addr")))
        weight = entry.get("weight")
        pool = self.pool_of(entry)
        drained = (
            pool is None or self.exclusions.holds(entry["id"]) or entry["id"] in self.excluded
        ) and not deregistered
        started_ms = max(float(entry.get("started_ms") or 0.0), self.exclusions.back_at(entry["id"]))
        server = api.Server(
            entry["id"],
            self.zone_index(entry.get("zone")),
            int(entry.get("cell") or 0),
            "cordoned" if drained else phase,
            1.0 if weight is None else float(weight),
            started_ms,
            pool or "",
        )
        return server, address

    def zone_index(self, name: Any) -> int:
        """Return the index of a zone; -1 for a zone that is not in the settings, which no gateway is in."""
        return self.zone_indices.get(str(name), -1)
