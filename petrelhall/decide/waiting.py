"""Requests that wait a moment for a place under their customer's cap on attempts out. Pure: plain records.

A cap of two or three attempts is full now and free again within the time of one answer, which is a small part of
what a client waits. Refused at once, a request comes back with its client's next try, if any is left, maybe through
a gateway that knows less; held, it has the first place that comes free.
"""

from __future__ import annotations

from petrelhall.decide.state import Customer, InFlightRequest

MAX_WAIT_SHARE = (
    0.35  # of the aim, and of the client's patience, for which a request may wait: late answers earn little
)
STEP_MS = 20.0  # between two looks, since news of peers also fades by itself


class Held(dict[int, InFlightRequest]):
    """Those that wait, by request, in the order in which they came."""

    due = False  # whether a look is timed

    def take(self, job: InFlightRequest, now: float, expected_ms: float) -> bool:
        """Keep a request, if it may still wait and those before it leave a place that comes in time."""
        wait = MAX_WAIT_SHARE * min(job.kind.aim_ms, job.arrival.left_ms)
        places = job.customer.plan.max_open * wait / max(1.0, expected_ms)
        before = sum(other.customer is job.customer for other in self.values())
        if now >= job.accepted_at + wait or job.attempts or before >= places:
            return False
        self[job.id] = job
        return True

    def leave(self, customer: Customer | None) -> list[InFlightRequest]:
        """Let go of those that wait for a customer's places, or of all, to be decided on anew."""
        self.due = self.due and customer is not None  # all are let go when the look is due
        jobs = [job for job in self.values() if customer is None or job.customer is customer]
        for job in jobs:
            del self[job.id]
        return [job for job in jobs if not job.ended]
