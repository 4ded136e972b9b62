"""The most that all gateways together send on beyond a quota, and the least they serve, from settings alone.

For a window of T seconds, beyond rate x T + burst (``docs/design/quota.md`` has the proof):

    clocks     rate x RHO x T         the stores fill by clocks that may run fast
    way        rate x wait            what was let in before the window began arrives at a box in it: a request waits
                                      for a connection, and its bytes take their time
    stalled    burst / n              what a stopped gateway had let in and not yet written when it stopped
    restart    burst                  all gateways began together, and take it for a new day (``decide/dawn.py``)
    upgrade    nothing                the new process owns nothing until the old one's part is surely over

    counter    nothing                lost, split, replaced, late: units in it are lost, none is ever there twice
                                      (Unix clocks within SKEW_MS of each other are supposed, ``quota/exchange.py``)

Nothing is added for lost, late or repeated messages, splits, bridges, deaths and starts: no unit is ever in two places.
"""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.quota.shares import RHO, Terms

WAY_MS = 50.0  # of a request's bytes to a box, as the platform allows
STATES = ("well", "one failed", "split", "bridge", "stalled", "mass restart", "upgrade")
COUNTER_STATES = ("counter lost", "counter split", "counter replaced", "counter late")


@dataclass(frozen=True, slots=True)
class Bound:
    """What is stated for one plan in one state of the fleet."""

    state: str
    beyond: float  # units beyond rate x time + burst in any window of the given length, at most
    served: float  # of rate x time, at least, of a district that asks evenly at all gateways that are up
    why: str


def bounds(terms: Terms, window_s: float, wait_ms: float) -> list[Bound]:
    """Give the bounds for a quota over windows of so many seconds; ``wait_ms``: for a connection, at most."""
    n, rate = terms.gateways, terms.rate
    base = rate * RHO * window_s + rate * (wait_ms + WAY_MS) / 1000.0
    lost = terms.hold_ms / 1000.0 / max(window_s, 1e-9)  # of the window, owned by nobody after a start
    found = [
        Bound("well", base, 1.0 - RHO, "each gateway's part fills at rate / n, and unused units are lent"),
        Bound("one failed", base, (n - 1) / n, "its part is nobody's until it is back"),
        Bound("split", base, 1.0 - RHO, "each side spends its own part; a side that nobody asks serves nobody"),
        Bound("bridge", base, 1.0 - RHO, "as split: a loan that is lost was taken out before"),
        Bound("stalled", base + terms.burst / n, (n - 1) / n, "what it had let in and not written comes late"),
        Bound(
            "mass restart",
            base + terms.burst,
            max(0.0, 1.0 - lost),
            "gateways that find they all began together take the stores for full; else these begin empty",
        ),
        Bound("upgrade", base, max(0.0, 1.0 - lost / n), "the new process owns nothing until earlier loans are over"),
    ]
    if terms.counter:
        own, put = "each gateway's part is its own", "what was put in is served to nobody, and owned by nobody twice"
        found += [
            Bound(state, base, 1.0 - RHO, why)
            for state, why in zip(
                COUNTER_STATES, (own, f"{own}; {put}", put, f"{put}; what was to be taken is not got"), strict=True
            )
        ]
    return found


def worst(terms: Terms, window_s: float, wait_ms: float, stalls: int = 1) -> float:
    """Give the most beyond the quota in any state, with so many stalls in the window."""
    base = bounds(terms, window_s, wait_ms)[0].beyond
    return base + stalls * terms.burst / terms.gateways
