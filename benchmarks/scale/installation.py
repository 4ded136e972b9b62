"""What the benchmarks take for the installation: settings of a gateway, and the list of servers."""

from __future__ import annotations

from typing import Any

from petrelhall.decide import interface as api

PEAK_REQUESTS_PER_S = 81.0  # of one gateway: 170,000 requests/s over 2,100 gateways
GATEWAYS = 2100
ZONES = tuple(f"zone-{number:02d}" for number in range(16))
SERVICES = 360
ANSWER_MS = 300.0
DESCRIPTORS = 1024
SET_SIZE = 4  # gateways that one tenant uses
PEER_MESSAGES_PER_S = 100.0


def server_entry(number: int, started_ms: int = 0) -> dict[str, Any]:
    """Give one server as discovery lists it."""
    return {
        "id": f"server-{number:05d}",
        "addr": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "zone": ZONES[number % len(ZONES)],
        "kind": f"service-{number % SERVICES:03d}",
        "cell": number % SERVICES,
        "state": "Ready",
        "weight": 1.0,
        "started_ms": started_ms,
    }


def server_list(servers: int) -> dict[str, Any]:
    """Give the whole list as discovery answers it."""
    return {"version": 1, "full": True, "servers": [server_entry(number) for number in range(servers)]}


def gateway_settings(gateways: int = GATEWAYS, peers: bool = False, counter: bool = True) -> api.Settings:
    """Give the settings of one gateway's decision module."""
    return api.Settings(
        classes=(api.RequestClass(api.Effect.REPEATABLE, aim_ms=2000.0, deadline_ms=6000.0),),
        plans=(api.Plan(rate=0.4, burst=2.0), api.Plan(rate=5.5, burst=10.0, max_open=4)),
        gateways=gateways,
        peers=peers,
        peer_messages_per_s=PEER_MESSAGES_PER_S if peers else 0.0,
        counter=counter,
        counter_wait_ms=80.0 if counter else 0.0,
        max_attempts=3,
        max_retry_after_ms=2000.0,
    )
