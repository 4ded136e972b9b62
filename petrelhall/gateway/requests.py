"""The lifecycle of a request, from its arrival to its one final answer.

This module is independent of the protocol: the listener passes in a ``Request`` and a ``Caller`` and renders the
``Answer``; the connection pool sends the ``message`` that the listener's codec built.
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
from petrelhall.gateway.history import RequestHistory, RequestRecord
from petrelhall.links.attempt import AttemptProgress, AttemptResult
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, now_ms

# Retry-After while it is unknown which policy is in force: by then it usually is known.
UNKNOWN_POLICY_RETRY_MS = 500.0
ANSWER_GRACE_MS = 5.0  # past its deadline a request is answered even if the decision module has not decided


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request in the decision module's terms; ``message`` is what servers are sent."""

    request_class: int
    plan: int
    customer: str
    remaining_ms: float
    units: float
    set_size: int
    is_retry: bool
    message: Any
    request_id: bytes = b""  # chosen by the client; unique among the requests in flight
    repeatable: bool = True  # running it twice does no harm
    set_first: int = 0  # number of the first gateway of the customer's set
    is_upload: bool = False  # its body is passed on while the client sends it


class Caller(Protocol):
    """The client that waits for the answer."""

    @property
    def gone(self) -> bool:
        """Return whether the client has disconnected."""


@dataclass(frozen=True, slots=True)
class Served:
    """A server's reply, to be forwarded."""

    reply: Any


@dataclass(frozen=True, slots=True)
class Refused:
    """Not served; it is safe to retry."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served; the request may or may not have had effects."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unsure:
    """No decision was made: this gateway does not know which policy is in force. It is safe to retry."""

    retry_after_ms: float


Answer = Served | Refused | Failed | Unsure


class Servers(Protocol):
    """Sends attempts to servers."""

    def attempt(
        self,
        server_id: str,
        message: Any,
        deadline: float,
        is_cancelled: Callable[[], bool],
        repeatable: bool = True,
        write_by: float = math.inf,
    ) -> Steps[AttemptResult]:
        """Make one attempt, not written after ``write_by``; ``repeatable``: running it twice does no harm."""


@dataclass(frozen=True, slots=True)
class ModuleFault:
    """Takes the place of an action if the decision module raised an exception while handling a request."""

    request: int


RequestAction = api.Send | api.Refuse | api.Fail | api.Cancel | ModuleFault


class InFlightRequest:
    """A request in flight: holds the decision module's actions for it until its task handles them."""

    __slots__ = ("id", "actions", "wake", "epoch")

    def __init__(self, number: int, wake: Callable[[], None]) -> None:
        self.id, self.wake = number, wake
        self.epoch: int | None = None  # of the policy under which its first action was decided
        self.actions: deque[RequestAction] = deque()

    def deliver(self, action: RequestAction) -> None:
        """Queue an action and wake the task."""
        self.actions.append(action)
        self.wake()


class PoolRouter(Protocol):
    """Selects the server pools for a request and is notified of how attempts end."""

    def pools(self, request: Request) -> tuple[str, ...]:
        """Return the pools that a request may go to, in order of preference; empty for all servers."""

    def ended(
        self, request: Request, pools: tuple[str, ...], server: str, result: AttemptResult, took_ms: float
    ) -> None:
        """Called with the result of a request's first attempt."""


class PolicyGate(Protocol):
    """Knows at this moment whether the policy that this gateway serves by is in force."""

    epoch: int

    def holds(self, epoch: int | None = None) -> bool:
        """Return whether a request may be decided on now or, for a past decision's epoch, whether it still stands."""

    def worth_waiting(self) -> float:
        """Return for how many ms a request should wait for a policy change that is about to take effect, or 0."""

    def wait(self, wake: Callable[[], None], off: bool = False) -> None:
        """Register a task to be woken once requests may be decided on, or remove it (``off``)."""

    def admitted(self, request: Request) -> None:
        """Called when a request is admitted."""


class RequestHandler:
    """Connects requests with the decision module and the servers."""

    def __init__(
        self,
        loop: Loop,
        handle_event: Callable[[api.Event], None],
        servers: Servers,
        counts: Counts,
        retry_after_ms: float,
    ) -> None:
        self.loop, self.handle_event, self.servers, self.counts = loop, handle_event, servers, counts
        self.retry_after_ms = retry_after_ms
        self.policy_gate: PolicyGate | None = None  # None: the policy is this gateway's own
        self.history: RequestHistory | None = None  # None: an id that comes again is another request
        self.pool_router: PoolRouter | None = None  # None: any request may go to any server
        self.on_attempt_end: Callable[[str, Ending], None] | None = None  # notified of each attempt's server and end
        self.requests_in_flight: dict[int, InFlightRequest] = {}
        self.last_id = 0
        self.answer_by = math.inf  # Unix ms by which every request must be answered: the process is killed soon after

    def deliver(self, action: RequestAction) -> None:
        """Pass an action to its request, unless that has ended."""
        in_flight = self.requests_in_flight.get(action.request)
        if in_flight is not None:
            if self.policy_gate is not None and in_flight.epoch is None:
                in_flight.epoch = self.policy_gate.epoch
            in_flight.deliver(action)

    def answer_all_by(self, when: float) -> None:
        """Answer all requests in flight by a given time: one with a later deadline would die with the process."""
        self.answer_by = when
        self.loop.at(when, self.wake_all)

    def wake_all(self) -> None:
        """Have all requests in flight check the time."""
        for in_flight in self.requests_in_flight.values():
            in_flight.wake()

    def serve(self, request: Request, caller: Caller) -> Steps[Answer | None]:
        """Handle a request and return its answer, or None if the client disconnected first."""
        self.last_id += 1
        in_flight = self.requests_in_flight[self.last_id] = InFlightRequest(self.last_id, self.loop.this_task().wake)
        self.counts.add("taken", "requests")
        record = None
        if self.history is not None and not request.repeatable:
            record = RequestRecord(self.history, request.request_id)
        try:
            if record is not None and record.earlier is not None and record.earlier.in_flight:
                answer: Answer | None = Failed("a request of that id is in hand at another process")
            else:
                answer = yield from self.process(in_flight, request, caller, record)
        except Exception:
            self.handle_event(api.ClientGone(in_flight.id))  # or the module would keep the request for ever
            raise
        finally:
            del self.requests_in_flight[in_flight.id]
            if record is not None:
                record.close()
        self.counts.add("answered", "client_left" if answer is None else type(answer).__name__.lower())
        return answer

    def process(
        self, in_flight: InFlightRequest, request: Request, caller: Caller, record: RequestRecord | None
    ) -> Steps[Answer | None]:
        """Report the request to the decision module and carry out its actions until the final one.

        ``record`` is that of a request that must not simply run twice.
        """
        deadline = now_ms() + request.remaining_ms
        overdue = self.loop.at(deadline + ANSWER_GRACE_MS, in_flight.wake)
        attempts, may_have_run = 0, record is not None and record.earlier is not None
        if self.policy_gate is not None and not self.policy_gate.holds():
            yield from self.await_policy(self.policy_gate, in_flight, request, caller)
            if caller.gone or not self.policy_gate.holds():
                overdue.cancel()
                return None if caller.gone else self.refuse_undecided()
            request = dataclasses.replace(request, remaining_ms=max(1.0, deadline - now_ms()))
        pools = self.pool_router.pools(request) if self.pool_router is not None else ()
        ran_at, ran_on = (record.ran_at, record.server) if record is not None else (math.inf, 0)
        self.handle_event(
            api.Arrival(
                in_flight.id,
                request.request_class,
                request.plan,
                request.customer,
                request.remaining_ms,
                request.units,
                request.set_size,
                request.is_retry,
                pools,
                request.set_first,
                ran_at,
                ran_on,
                request.is_upload,
            )
        )
        try:
            while True:
                while (
                    not in_flight.actions
                    and not caller.gone
                    and now_ms() < min(deadline + ANSWER_GRACE_MS, self.answer_by)
                ):
                    yield  # the module has not decided yet: it waits for the counter's reply
                if caller.gone or now_ms() >= self.answer_by:
                    self.withdraw(in_flight, attempts)
                    return None if caller.gone else self.answer_at_shutdown(may_have_run)
                action = in_flight.actions.popleft() if in_flight.actions else ModuleFault(in_flight.id)
                if self.policy_gate is not None and not attempts and not isinstance(action, ModuleFault):
                    if not self.policy_gate.holds(in_flight.epoch):  # the policy changed between decision and admission
                        if isinstance(action, api.Send):
                            self.handle_event(api.Outcome(in_flight.id, 0, action.server, Ending.MOOT, 0.0, True))
                        return self.refuse_undecided()
                    if isinstance(action, api.Send):
                        self.policy_gate.admitted(request)
                if isinstance(action, api.Refuse):
                    cause = action.cause or ("attempts" if attempts else "servers")
                    self.counts.add("refused", f"{cause}_{request.plan}")
                    return Refused(action.retry_after_ms)
                if isinstance(action, api.Fail):
                    return Failed("no attempt was served")
                if isinstance(action, ModuleFault):
                    # The module raised an exception or lost the request: the client gets an answer all the same.
                    self.handle_event(api.ClientGone(in_flight.id))
                    self.counts.add("answered", "without_the_module")
                    return Failed("internal error") if may_have_run else Refused(self.retry_after_ms)
                if isinstance(action, api.Cancel):
                    continue  # the attempt to cancel has already ended
                started_at = now_ms()
                attempt_until = min(deadline, started_at + action.timeout_ms) if action.timeout_ms else deadline
                if record is not None:
                    record.begin_attempt(started_at, action.server)
                result = yield from self.servers.attempt(
                    action.server,
                    request.message,
                    attempt_until,
                    lambda: caller.gone or bool(in_flight.actions) or now_ms() >= self.answer_by,
                    request.repeatable,
                    action.write_by,
                )
                self.counts.add("sent", result.ending.value)
                if self.on_attempt_end is not None:
                    self.on_attempt_end(action.server, result.ending)
                ran = result.progress > AttemptProgress.UNWRITTEN and result.ending is not Ending.FULL
                may_have_run |= ran
                if record is not None:
                    record.end_attempt(started_at, action.server, ran)
                gone, shutting_down = caller.gone, now_ms() >= self.answer_by  # read once, for a consistent view below
                if gone:  # reported before the attempt's outcome, so that the module starts no further attempt
                    self.handle_event(api.ClientGone(in_flight.id))
                served = result.ending is Ending.OK
                # A client's slow upload must not count as server latency.
                started_at = max(started_at, result.body_sent_at)
                self.handle_event(
                    api.Outcome(
                        in_flight.id,
                        attempts,
                        action.server,
                        result.ending,
                        now_ms() - started_at,
                        served or gone or shutting_down,
                        result.used,
                        None,
                        dict(result.report),
                    )
                )
                # Only first attempts are reported: later ones are biased towards requests that went badly.
                if self.pool_router is not None and not attempts:
                    self.pool_router.ended(request, pools, action.server, result, now_ms() - started_at)
                attempts += 1
                if gone:
                    return None
                if served:
                    return Served(result.reply)
        finally:
            overdue.cancel()

    def withdraw(self, in_flight: InFlightRequest, attempts: int) -> None:
        """Report to the decision module that no answer is owed, and that an attempt just decided on is not made.

        The module has already counted that attempt: without its outcome it would count as outstanding at its server
        for ever.
        """
        for action in in_flight.actions:
            if isinstance(action, api.Send):
                self.handle_event(api.Outcome(in_flight.id, attempts, action.server, Ending.MOOT, 0.0, True))
        self.handle_event(api.ClientGone(in_flight.id))

    def answer_at_shutdown(self, may_have_run: bool) -> Answer:
        """Answer a request whose process ends before the request's deadline."""
        self.counts.add("answered", "cut_off_at_the_end")
        return Failed("the gateway ends") if may_have_run else Refused(self.retry_after_ms)

    def await_policy(
        self, policy_gate: PolicyGate, in_flight: InFlightRequest, request: Request, caller: Caller
    ) -> Steps[None]:
        """Wait briefly for a policy change that is about to take effect; otherwise return at once."""
        until = now_ms() + min(policy_gate.worth_waiting(), request.remaining_ms / 4.0)
        policy_gate.wait(in_flight.wake)
        timer = self.loop.at(until, in_flight.wake)
        while not policy_gate.holds() and not caller.gone and now_ms() < until:
            yield
        policy_gate.wait(in_flight.wake, off=True)
        timer.cancel()

    def refuse_undecided(self) -> Answer:
        """Refuse a request that cannot be decided on here now."""
        self.counts.add("refused", "unsure")
        return Unsure(min(UNKNOWN_POLICY_RETRY_MS, self.retry_after_ms))
