"""The work that a cold server may be given. Pure: settings and the time come from outside."""

from __future__ import annotations

import math
import zlib

from petrelhall.decide.interface import Settings
from petrelhall.decide.state import ServerState

COLD_LOAD_SHARE = 0.64  # of the work that pushes a cold server over: a warm one's work, times it, is its share
# Attempts of all gateways that may be kept unmade: 1, a part of the R that may be made in the time of a fall, and of
# its root. With R = 0.64 N these and R together stay under N + 2 sqrt(N) + 1, N being what pushes the server over.
KEPT_PART, KEPT_ROOT = 0.5, 2.0
COLD_FLOOR = 0.5  # requests/s to a cold server from all gateways while no warm rate is known


def cold_start_share(link: ServerState, now: float, settings: Settings, warm_rate: float) -> float:
    """Slow start: the share of a warm server's work that this one can do, 0 once it had that.

    ``warm_rate`` is what this gateway sends to a warm server, in attempts a second.

    An attempt that this gateway may make is kept for its turn only, and then lost: kept for ever, those of 200 gateways
    that had nothing to send would all be there when they have, at once. Turns follow from the gateway's number, so that
    few gateways have one at the same time.
    """
    age = (now - (link.cold_since or 0.0)) / max(1.0, settings.cold_ms)
    if link.cold_since is None or age >= 1.0:
        link.cold_since = None
        return 1.0
    ramp = settings.cold_from + (1.0 - settings.cold_from) * max(0.0, age)
    share = ramp * max(1.0, COLD_LOAD_SHARE * settings.overload_factor)
    rate = share * max(COLD_FLOOR / settings.gateways, warm_rate) / 1000.0
    store = link.cold_tokens + rate * (now - link.cold_tokens_at)
    made = rate * settings.gateways * settings.fall_ms
    turn = (1.0 + KEPT_PART * made + KEPT_ROOT * math.sqrt(made)) / settings.gateways
    if turn >= 1.0:
        store = min(1.0, store)
    elif store >= 1.0 + turn:  # turns have passed unused
        store %= 1.0
        store += store < turn
    link.cold_tokens, link.cold_tokens_at = store, now
    return ramp if store >= 1.0 else 0.0


def initial_cold_allowance(address: str, settings: Settings) -> float:
    """Give what a gateway has at first of an attempt at a server that may prove cold: by number, an even part apart."""
    place = zlib.crc32(address.encode()) / 2.0**32
    return ((settings.position + 0.5) / settings.gateways + place) % 1.0
