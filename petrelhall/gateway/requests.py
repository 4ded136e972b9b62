"""The life of one request, from being taken to its one final answer.

Nothing here knows a protocol: a front hands in a ``Request`` and a ``Caller`` and words the ``Answer``; the
servers' side carries the ``message`` that the front made.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.links.attempt import Reach, Result
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, now_ms

OVERDUE_MS = 5.0  # after its own last moment a request is answered even if the module said nothing


@dataclass(frozen=True, slots=True)
class Request:
    """What a client asks, in the module's terms; ``message`` is what the servers are sent."""

    request_class: int
    plan: int
    customer: str
    left_ms: float
    units: float
    set_size: int
    repeat: bool
    message: Any
    name: bytes = b""  # the client's own, none other in hand has it
    free: bool = True  # to run it twice costs nothing
    set_first: int = 0  # number of the first gateway of the customer's set


class Caller(Protocol):
    """Whoever waits for the answer."""

    @property
    def gone(self) -> bool:
        """Tell whether the client has left."""


@dataclass(frozen=True, slots=True)
class Served:
    """A server's answer, to be passed on."""

    reply: Any


@dataclass(frozen=True, slots=True)
class Refused:
    """Not served, and asking again is harmless."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served, with no promise about effects."""

    reason: str


Answer = Served | Refused | Failed


class Servers(Protocol):
    """Where attempts are made."""

    def attempt(self, server: str, message: Any, until: float, stopped: Callable[[], bool],
                free: bool = True) -> Steps[Result]:
        """Make one attempt; ``free`` tells that to run the request twice costs nothing."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Stands among the module's actions where the module itself broke down over a request."""

    request: int


Order = api.Send | api.Refuse | api.Fail | api.Cancel | Fault


class Ticket:
    """One request in hand: the module's actions for it wait here until its task takes them up."""

    __slots__ = ("id", "orders", "wake")

    def __init__(self, number: int, wake: Callable[[], None]) -> None:
        self.id, self.wake = number, wake
        self.orders: deque[Order] = deque()

    def give(self, order: Order) -> None:
        """Add an action and wake the task."""
        self.orders.append(order)
        self.wake()


class Sides(Protocol):
    """Whoever says among which boxes a request may go, and wants to hear how attempts end."""

    def pools(self, request: Request) -> tuple[str, ...]:
        """Give the pools that a request may go to, in order; empty for all boxes."""

    def ended(self, request: Request, pools: tuple[str, ...], server: str, result: Result, took_ms: float) -> None:
        """Hear how a request's first attempt ended."""


class Desk:
    """Where requests meet the module and the servers."""

    def __init__(self, loop: Loop, tell: Callable[[api.Event], None], servers: Servers, counts: Counts,
                 retry_after_ms: float) -> None:
        self.loop, self.tell, self.servers, self.counts = loop, tell, servers, counts
        self.retry_after_ms = retry_after_ms
        self.sides: Sides | None = None  # none: any box for any request
        self.witness: Callable[[str, Ending], None] | None = None  # hears how attempts at boxes ended
        self.tickets: dict[int, Ticket] = {}
        self.last = 0

    def give(self, order: Order) -> None:
        """Hand an action to its request, unless that has ended."""
        ticket = self.tickets.get(order.request)
        if ticket is not None:
            ticket.give(order)

    def serve(self, request: Request, caller: Caller) -> Steps[Answer | None]:
        """Live a request's life, and give its answer, or None where the client left before it."""
        self.last += 1
        ticket = self.tickets[self.last] = Ticket(self.last, self.loop.this_task().wake)
        self.counts.add("taken", "requests")
        try:
            answer = yield from self.live(ticket, request, caller)
        except Exception:
            self.tell(api.ClientGone(ticket.id))  # the module must not wait for it
            raise
        finally:
            del self.tickets[ticket.id]
        self.counts.add("answered", "client_left" if answer is None else type(answer).__name__.lower())
        return answer

    def live(self, ticket: Ticket, request: Request, caller: Caller) -> Steps[Answer | None]:
        """Tell the module of the request, then do as it says until it says the last word."""
        until = now_ms() + request.left_ms
        overdue = self.loop.at(until + OVERDUE_MS, ticket.wake)
        attempts, may_have_run = 0, False
        pools = self.sides.pools(request) if self.sides is not None else ()
        self.tell(api.Arrival(
            ticket.id, request.request_class, request.plan, request.customer, request.left_ms, request.units,
            request.set_size, request.repeat, pools, request.set_first,
        ))
        try:
            while True:
                while not ticket.orders and not caller.gone and now_ms() < until + OVERDUE_MS:
                    yield  # the module holds it, to hear the counter first
                if caller.gone:
                    self.tell(api.ClientGone(ticket.id))
                    return None
                order = ticket.orders.popleft() if ticket.orders else Fault(ticket.id)
                if isinstance(order, api.Refuse):
                    cause = order.cause or ("attempts" if attempts else "servers")
                    self.counts.add("refused", f"{cause}_{request.plan}")
                    return Refused(order.retry_after_ms)
                if isinstance(order, api.Fail):
                    return Failed("no attempt was served")
                if isinstance(order, Fault):
                    # The module broke down or forgot the request: the client is answered all the same.
                    self.tell(api.ClientGone(ticket.id))
                    self.counts.add("answered", "without_the_module")
                    return Failed("internal error") if may_have_run else Refused(self.retry_after_ms)
                if isinstance(order, api.Cancel):
                    continue  # of an attempt that has ended by itself
                started = now_ms()
                last = min(until, started + order.timeout_ms) if order.timeout_ms else until
                result = yield from self.servers.attempt(
                    order.server, request.message, last, lambda: caller.gone or bool(ticket.orders),
                    request.free)
                self.counts.add("sent", result.ending.value)
                if self.witness is not None:
                    self.witness(order.server, result.ending)
                may_have_run |= result.reach > Reach.UNWRITTEN and result.ending is not Ending.FULL
                if caller.gone:  # before the attempt's end is told: no further one may follow from it
                    self.tell(api.ClientGone(ticket.id))
                served = result.ending is Ending.OK
                started = max(started, result.asked_at)  # a client's slow body is no slowness of the box
                self.tell(api.Outcome(
                    ticket.id, attempts, order.server, result.ending, now_ms() - started,
                    served or caller.gone, result.used, None, dict(result.report),
                ))
                if self.sides is not None and not attempts:  # later ones are of requests that went badly
                    self.sides.ended(request, pools, order.server, result, now_ms() - started)
                attempts += 1
                if caller.gone:
                    return None
                if served:
                    return Served(result.reply)
        finally:
            overdue.cancel()
