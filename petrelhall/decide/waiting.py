"""Requests that wait briefly for a free place under their customer's limit on concurrent attempts.

A limit of two or three concurrent attempts is reached and free again within the time of one answer, which is a small
part of what a client waits. A request that is refused at once only returns with its client's next try, if the client
has one left, and maybe through a gateway that knows less; a request that waits here gets the first place that comes
free. This module does no input or output: it works on plain records.
"""

from __future__ import annotations

from petrelhall.decide.state import Customer, InFlightRequest

# Share of the target latency, and of the client's remaining time, for which a request may wait: late answers earn
# little.
MAX_WAIT_SHARE = 0.35
# Time between two checks of the waiting requests. They are needed because what peers have reported also expires with
# time, without any event.
RECHECK_INTERVAL_MS = 20.0


class WaitingRequests(dict[int, InFlightRequest]):
    """The waiting requests by request number, in the order in which they arrived."""

    recheck_scheduled = False  # whether a timer for the next check is set

    def try_add(self, request: InFlightRequest, now: float, expected_ms: float) -> bool:
        """Add a request if it may still wait and enough places will come free in time for it and those before it."""
        max_wait_ms = MAX_WAIT_SHARE * min(request.request_class.aim_ms, request.arrival.left_ms)
        places = request.customer.plan.max_open * max_wait_ms / max(1.0, expected_ms)
        before = sum(other.customer is request.customer for other in self.values())
        if now >= request.accepted_at + max_wait_ms or request.attempts or before >= places:
            return False
        self[request.id] = request
        return True

    def pop_all(self, customer: Customer | None) -> list[InFlightRequest]:
        """Remove the waiting requests of one customer, or of all for None, and return those still unanswered."""
        # A call for all customers is the scheduled check itself.
        self.recheck_scheduled = self.recheck_scheduled and customer is not None
        requests = [request for request in self.values() if customer is None or request.customer is customer]
        for request in requests:
            del self[request.id]
        return [request for request in requests if not request.ended]
