"""What another attempt costs of the retry budget. This module does no input or output."""

from __future__ import annotations

from petrelhall.decide.interface import Ending, Outcome

MIN_ERROR_RETRY_COST = 0.2  # cost of a retry after an error that came back at once, as a share of a whole attempt


def retry_cost(event: Outcome, ran: bool, expected_ms: float) -> float:
    """Return the cost of a retry, from what the failed attempt has cost its server.

    The budget keeps retries from multiplying the load. An error that comes back at once has cost the server next to
    nothing: if it counted as a whole attempt, one server that fails quickly would empty the budget, and requests that
    any other server would answer would be given up. A full server also answers at once, but there load is the problem,
    so a retry costs a whole attempt.
    """
    if event.ending is Ending.ERROR:
        return min(1.0, MIN_ERROR_RETRY_COST + event.latency_ms / max(1.0, expected_ms))
    return float(ran or event.ending is Ending.FULL)
