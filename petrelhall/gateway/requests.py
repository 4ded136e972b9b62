"""The life of one request, from being taken to its one final answer.

Nothing here knows a protocol: a front hands in a ``Request`` and a ``Caller`` and words the ``Answer``; the
servers' side carries the ``message`` that the front made.
"""

from __future__ import annotations

import dataclasses
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.links.attempt import AttemptProgress, AttemptResult
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, now_ms

UNSURE_MS = 500.0  # after which to ask again, where the policy in force is not known: by then it mostly is
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
    request_id: bytes = b""  # the client's own, none other in hand has it
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


@dataclass(frozen=True, slots=True)
class Unsure:
    """Not decided on: this gateway does not know now which policy is in force. Asking again is harmless."""

    retry_after_ms: float


Answer = Served | Refused | Failed | Unsure


class Servers(Protocol):
    """Where attempts are made."""

    def attempt(
        self,
        server: str,
        message: Any,
        until: float,
        stopped: Callable[[], bool],
        free: bool = True,
        write_by: float = math.inf,
    ) -> Steps[AttemptResult]:
        """Make one attempt, not written after ``write_by``; ``free`` tells that a second run costs nothing."""


@dataclass(frozen=True, slots=True)
class ModuleFault:
    """Stands among the module's actions where the module itself broke down over a request."""

    request: int


RequestAction = api.Send | api.Refuse | api.Fail | api.Cancel | ModuleFault


class Ticket:
    """One request in hand: the module's actions for it wait here until its task takes them up."""

    __slots__ = ("id", "orders", "wake", "epoch")

    def __init__(self, number: int, wake: Callable[[], None]) -> None:
        self.id, self.wake = number, wake
        self.epoch: int | None = None  # of the policy that its first order was decided under
        self.orders: deque[RequestAction] = deque()

    def deliver(self, order: RequestAction) -> None:
        """Add an action and wake the task."""
        self.orders.append(order)
        self.wake()


class Sides(Protocol):
    """Whoever says among which boxes a request may go, and wants to hear how attempts end."""

    def pools(self, request: Request) -> tuple[str, ...]:
        """Give the pools that a request may go to, in order; empty for all boxes."""

    def ended(
        self, request: Request, pools: tuple[str, ...], server: str, result: AttemptResult, took_ms: float
    ) -> None:
        """Hear how a request's first attempt ended."""


class Agreed(Protocol):
    """Whoever knows whether the policy that is served here is in force, in this very turn."""

    epoch: int

    def holds(self, epoch: int | None = None) -> bool:
        """Tell whether a request may be decided on now; of a decision that was made, whether it still stands."""

    def worth_waiting(self) -> float:
        """Give for how many ms more a request should wait: a change is just taking hold, or 0."""

    def wait(self, wake: Callable[[], None], off: bool = False) -> None:
        """Have a task woken once requests may be decided on, or no more."""

    def admitted(self, request: Request) -> None:
        """Hear that a request is let in now."""


class RequestHandler:
    """Where requests meet the module and the servers."""

    def __init__(
        self, loop: Loop, tell: Callable[[api.Event], None], servers: Servers, counts: Counts, retry_after_ms: float
    ) -> None:
        self.loop, self.tell, self.servers, self.counts = loop, tell, servers, counts
        self.retry_after_ms = retry_after_ms
        self.policy_gate: Agreed | None = None  # none: the policy is this gateway's own
        self.pool_router: Sides | None = None  # none: any box for any request
        self.on_attempt_end: Callable[[str, Ending], None] | None = None  # hears how attempts at boxes ended
        self.tickets: dict[int, Ticket] = {}
        self.last = 0
        self.end_by = math.inf  # Unix ms at which this process must have answered all: soon after, it is killed

    def deliver(self, order: RequestAction) -> None:
        """Hand an action to its request, unless that has ended."""
        ticket = self.tickets.get(order.request)
        if ticket is not None:
            if self.policy_gate is not None and ticket.epoch is None:
                ticket.epoch = self.policy_gate.epoch
            ticket.deliver(order)

    def end_all_by(self, when: float) -> None:
        """Answer whatever is in hand at some time: a request with longer to live would die with the process."""
        self.end_by = when
        self.loop.at(when, self.wake_all)

    def wake_all(self) -> None:
        """Have all requests in hand look at the time."""
        for ticket in self.tickets.values():
            ticket.wake()

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
        if self.policy_gate is not None and not self.policy_gate.holds():
            yield from self.await_policy(self.policy_gate, ticket, request, caller)
            if caller.gone or not self.policy_gate.holds():
                overdue.cancel()
                return None if caller.gone else self.unsure()
            request = dataclasses.replace(request, left_ms=max(1.0, until - now_ms()))
        pools = self.pool_router.pools(request) if self.pool_router is not None else ()
        self.tell(
            api.Arrival(
                ticket.id,
                request.request_class,
                request.plan,
                request.customer,
                request.left_ms,
                request.units,
                request.set_size,
                request.repeat,
                pools,
                request.set_first,
            )
        )
        try:
            while True:
                while not ticket.orders and not caller.gone and now_ms() < min(until + OVERDUE_MS, self.end_by):
                    yield  # the module holds it, to hear the counter first
                if caller.gone or now_ms() >= self.end_by:
                    self.take_back(ticket, attempts)
                    return None if caller.gone else self.cut_off(may_have_run)
                order = ticket.orders.popleft() if ticket.orders else ModuleFault(ticket.id)
                if self.policy_gate is not None and not attempts and not isinstance(order, ModuleFault):
                    if not self.policy_gate.holds(ticket.epoch):  # decided, and not let in: the policy went in between
                        if isinstance(order, api.Send):
                            self.tell(api.Outcome(ticket.id, 0, order.server, Ending.MOOT, 0.0, True))
                        return self.unsure()
                    if isinstance(order, api.Send):
                        self.policy_gate.admitted(request)
                if isinstance(order, api.Refuse):
                    cause = order.cause or ("attempts" if attempts else "servers")
                    self.counts.add("refused", f"{cause}_{request.plan}")
                    return Refused(order.retry_after_ms)
                if isinstance(order, api.Fail):
                    return Failed("no attempt was served")
                if isinstance(order, ModuleFault):
                    # The module broke down or forgot the request: the client is answered all the same.
                    self.tell(api.ClientGone(ticket.id))
                    self.counts.add("answered", "without_the_module")
                    return Failed("internal error") if may_have_run else Refused(self.retry_after_ms)
                if isinstance(order, api.Cancel):
                    continue  # of an attempt that has ended by itself
                started = now_ms()
                last = min(until, started + order.timeout_ms) if order.timeout_ms else until
                result = yield from self.servers.attempt(
                    order.server,
                    request.message,
                    last,
                    lambda: caller.gone or bool(ticket.orders) or now_ms() >= self.end_by,
                    request.free,
                    order.write_by,
                )
                self.counts.add("sent", result.ending.value)
                if self.on_attempt_end is not None:
                    self.on_attempt_end(order.server, result.ending)
                may_have_run |= result.progress > AttemptProgress.UNWRITTEN and result.ending is not Ending.FULL
                gone, over = caller.gone, now_ms() >= self.end_by  # looked at once for all that follows
                if gone:  # before the attempt's end is told: no further one may follow from it
                    self.tell(api.ClientGone(ticket.id))
                served = result.ending is Ending.OK
                started = max(started, result.body_sent_at)  # a client's slow body is no slowness of the box
                self.tell(
                    api.Outcome(
                        ticket.id,
                        attempts,
                        order.server,
                        result.ending,
                        now_ms() - started,
                        served or gone or over,
                        result.used,
                        None,
                        dict(result.report),
                    )
                )
                if self.pool_router is not None and not attempts:  # later ones are of requests that went badly
                    self.pool_router.ended(request, pools, order.server, result, now_ms() - started)
                attempts += 1
                if gone:
                    return None
                if served:
                    return Served(result.reply)
        finally:
            overdue.cancel()

    def take_back(self, ticket: Ticket, attempts: int) -> None:
        """Tell the module that nothing more is owed; an attempt that it has just decided on is not made.

        The module has booked that one: untold of its end, it would count as out at its server for good.
        """
        for order in ticket.orders:
            if isinstance(order, api.Send):
                self.tell(api.Outcome(ticket.id, attempts, order.server, Ending.MOOT, 0.0, True))
        self.tell(api.ClientGone(ticket.id))

    def cut_off(self, may_have_run: bool) -> Answer:
        """Answer a request whose process ends before its time."""
        self.counts.add("answered", "cut_off_at_the_end")
        return Failed("the gateway ends") if may_have_run else Refused(self.retry_after_ms)

    def await_policy(self, agreed: Agreed, ticket: Ticket, request: Request, caller: Caller) -> Steps[None]:
        """Wait a little for a change that is just taking hold; what is not near is given up at once."""
        until = now_ms() + min(agreed.worth_waiting(), request.left_ms / 4.0)
        agreed.wait(ticket.wake)
        timer = self.loop.at(until, ticket.wake)
        while not agreed.holds() and not caller.gone and now_ms() < until:
            yield
        agreed.wait(ticket.wake, off=True)
        timer.cancel()

    def unsure(self) -> Answer:
        """Refuse what cannot be decided on here now."""
        self.counts.add("refused", "unsure")
        return Unsure(min(UNSURE_MS, self.retry_after_ms))
