"""What another attempt takes of the retry budget. Pure."""

from __future__ import annotations

from petrelhall.decide.interface import Ending, Outcome

QUICK_PRICE = 0.2  # of a whole one, after an attempt that took no time


def price(event: Outcome, ran: bool, expected_ms: float) -> float:
    """Give the price of a retry by what the failed attempt has cost its server.

    The budget keeps retries from multiplying the load. An error that comes back at once has cost next to nothing:
    priced as a whole attempt, one server that fails quickly empties the budget, and requests that any other would
    serve are given up. A server that is full says so at once, too, and there the load is the matter.
    """
    if event.ending is Ending.ERROR:
        return min(1.0, QUICK_PRICE + event.latency_ms / max(1.0, expected_ms))
    return float(ran or event.ending is Ending.FULL)
