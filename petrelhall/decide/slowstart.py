"""Slow start: how much work a cold server may get. Settings and the time are passed in."""

from __future__ import annotations

import math
import zlib

from petrelhall.decide.interface import Settings
from petrelhall.decide.state import ServerState

# A cold server gets its share of a warm server's work, times this part of the load that overloads it.
COLD_LOAD_SHARE = 0.64
# Bound on the unused allowance of all gateways together, in attempts: 1, plus a share of R, the attempts that may be
# made in the time in which a server becomes overloaded (fall_ms), plus a multiple of the square root of R. With
# R = 0.64 N this bound and R together stay under N + 2 sqrt(N) + 1, where N attempts overload the server.
UNUSED_SHARE = 0.5
UNUSED_ROOT_FACTOR = 2.0
COLD_MIN_RATE = 0.5  # requests/s to a cold server from all gateways together while no rate of a warm one is known


def cold_start_share(server_state: ServerState, now: float, settings: Settings, warm_rate: float) -> float:
    """Return the share of a warm server's work that this server can do now, or 0 if its allowance is used up.

    ``warm_rate`` is what this gateway sends to a warm server, in attempts per second.

    An attempt that this gateway may make is kept for the gateway's turn only and then lost. If it were kept for ever,
    the attempts saved by 200 gateways that had nothing to send would all be made at once as soon as they have
    something. Turns follow from the gateway's number, so that few gateways have one at the same time.
    """
    age = (now - (server_state.cold_since or 0.0)) / max(1.0, settings.cold_ms)
    if server_state.cold_since is None or age >= 1.0:
        server_state.cold_since = None
        return 1.0
    ramp = settings.cold_from + (1.0 - settings.cold_from) * max(0.0, age)
    share = ramp * max(1.0, COLD_LOAD_SHARE * settings.overload_factor)
    rate_per_ms = share * max(COLD_MIN_RATE / settings.gateways, warm_rate) / 1000.0
    allowance = server_state.cold_tokens + rate_per_ms * (now - server_state.cold_tokens_at)
    fleet_attempts = rate_per_ms * settings.gateways * settings.fall_ms
    turn = (1.0 + UNUSED_SHARE * fleet_attempts + UNUSED_ROOT_FACTOR * math.sqrt(fleet_attempts)) / settings.gateways
    if turn >= 1.0:
        allowance = min(1.0, allowance)
    elif allowance >= 1.0 + turn:  # one or more turns have passed unused
        allowance %= 1.0
        allowance += allowance < turn
    server_state.cold_tokens, server_state.cold_tokens_at = allowance, now
    return ramp if allowance >= 1.0 else 0.0


def initial_cold_allowance(address: str, settings: Settings) -> float:
    """Return the part of an attempt that a gateway starts with at a server that may turn out to be cold.

    The values of the gateways are spread evenly by their numbers; the server's address sets where they begin.
    """
    offset = zlib.crc32(address.encode()) / 2.0**32
    return ((settings.position + 0.5) / settings.gateways + offset) % 1.0
