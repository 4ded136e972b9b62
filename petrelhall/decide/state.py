"""What a gateway remembers of customers, servers and requests: plain records, no decisions."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from petrelhall.decide.interface import Action, Arrival, Effect, Ending, Plan, RequestClass, Send, Server


class OwnedQuota(Protocol):
    """What this gateway owns of a customer's quota and ceiling, where shares are owned."""

    def available(self, now: float) -> tuple[float, float]:
        """Give the units of the quota and of the ceiling that may be spent now; infinite where the plan has none."""

    def want(self, now: float, units: float) -> None:
        """Hear that units are asked for."""

    def spend(self, now: float, units: float) -> None:
        """Book units as spent."""

    def fill(self, now: float) -> None:
        """Hear that all gateways began together: nobody had used anything before."""


class QuotaOwner(Protocol):
    """Whoever keeps the shares."""

    def account(self, customer: Customer, now: float) -> OwnedQuota | None:
        """Give what is owned of a customer; None where the stores here are to decide."""


@dataclass(eq=False)
class Customer:
    """One customer as seen from here; stores in units, rates in units/s."""

    plan: Plan
    set_size: int
    code: int  # stands for it in messages and at the counter
    seen_at: float
    others_at: float  # when the others' use was last heard of
    set_first: int = 0  # the first of the gateways that it uses
    even: float = 1.0  # the even slice: one over the number of gateways that it uses
    filled_at: float = 0.0  # when its stores were last brought up to date
    bucket: float = 0.0  # the even slice at the start
    shared_bucket: float = 0.0  # the whole store, as far as is known
    use_known: bool = False  # whether its use by all was ever told
    overflow: float = 0.0  # fill that a full shared store has lost since the last news
    admit_share: float = 1.0  # of its demand that the quota bears, as far as is known
    cap: float = 0.0  # this gateway's part of the ceiling
    demand: float = 0.0
    sent_rate: float = 0.0
    others_rate: float = 0.0
    interval_units: float = 0.0  # asked in this interval
    counter_total: float = 0.0  # the counter's last word
    counter_level: float = 0.0  # of its store on the counter, and when
    counter_level_at: float = -math.inf
    correction: float = 0.0  # to be added with the next call
    total_name: int = -1  # and the name that it was of
    open: int = 0
    owned_quota: OwnedQuota | None = None  # decides in place of the stores above
    peers_open: dict[int, tuple[float, float]] = field(default_factory=dict)  # out at each peer, and when told
    samples: list[tuple[float, float]] = field(default_factory=list)  # the column: units and pressure
    flags: int = 0  # tests in a row that flagged it
    throttle_rate: float = 0.0
    throttle_bucket: float = 0.0

    def __post_init__(self) -> None:
        """Fill the stores as a plan does; a restarted gateway must assume its part of the ceiling spent."""
        self.even, self.filled_at = 1.0 / max(1, self.set_size), self.seen_at
        self.bucket, self.shared_bucket = self.plan.burst * self.even, self.plan.burst

    def add_tokens(self, elapsed: float, shared_rate: float, cap_rate: float, cap_most: float) -> None:
        """Fill the stores for some seconds at the given rates."""
        shared = self.shared_bucket + shared_rate * elapsed
        self.shared_bucket = min(self.plan.burst, shared)
        self.overflow += shared - self.shared_bucket
        self.cap = min(cap_most, self.cap + cap_rate * elapsed)
        if self.owned_quota is not None:
            units, cap = self.owned_quota.available(self.filled_at)
            if units < math.inf:
                self.bucket = self.shared_bucket = units
            self.cap = cap if cap < math.inf else self.cap
        self.throttle_bucket = min(1.0 + self.throttle_rate, self.throttle_bucket + self.throttle_rate * elapsed)

    def decay_rates(self, factor: float, others: bool) -> None:
        """Let the recent rates decay; the others' only where nothing better is known."""
        self.demand, self.sent_rate = self.demand * factor, self.sent_rate * factor
        self.others_rate *= factor if others else 1.0

    def max_level(self, now: float) -> float:
        """Give the most that its store on the counter can hold now."""
        return self.counter_level + self.plan.rate * (now - self.counter_level_at) / 1000.0

    def other_gateways(self, own: int, gateways: int) -> tuple[int, ...]:
        """Give the numbers of the other gateways that it uses: some in a row, counted round."""
        numbers = ((self.set_first + step) % gateways for step in range(min(self.set_size, gateways)))
        return tuple(number for number in numbers if number != own)

    def record_demand(self, now: float, units: float, rate: float) -> None:
        """Book what it asks for."""
        self.seen_at, self.interval_units, self.demand = now, self.interval_units + units, self.demand + rate
        if self.owned_quota is not None:
            self.owned_quota.want(now, units)

    def record_sent(self, units: float, rate: float) -> None:
        """Book what is sent on for it, beside the quota."""
        self.cap, self.throttle_bucket = self.cap - units, self.throttle_bucket - units
        self.sent_rate += rate
        if self.owned_quota is not None:
            self.owned_quota.spend(self.filled_at, units)

    def stop_tracking(self) -> None:
        """Lose the column and what followed from it."""
        self.samples, self.flags, self.throttle_rate = [], 0, 0.0

    def take_tokens(self, bucket: float, shared: float) -> None:
        """Take units from the stores of the quota."""
        self.bucket, self.shared_bucket = self.bucket - bucket, self.shared_bucket - shared


@dataclass(eq=False)
class ServerState:
    """One server as seen from here."""

    server: Server
    limit: float  # attempts that may be out at it from here
    cold_tokens: float  # attempts that may go to it while it is cold
    cold_tokens_at: float
    limit_cut_at: float = 0.0  # when the limit last fell
    open: float = 0.0
    other_load: float = 0.0  # requests of others that it reported
    reported_at: float = 0.0
    slowness: float = 1.0  # latency over the fleet's
    delay: float = 0.0  # latency over the aim
    measured_at: float = 0.0
    sent: float = 0.0  # last attempt
    answer_at: float = 0.0  # last outcome, or when work was first out since
    resets: int = 0  # in a row
    ejections: int = 0
    ejected_until: float = 0.0
    down_at: float = 0.0  # when it last proved dead; 0 while alive
    health: dict[int, tuple[float, float]] = field(default_factory=dict)  # by class: good, and when
    cold_since: float | None = None


@dataclass(eq=False)
class Attempt:
    """One attempt of a request."""

    target: ServerState
    sent: float
    open: bool = True


@dataclass(eq=False)
class InFlightRequest:
    """A request in hand; its final answer is owed until it has ended."""

    arrival: Arrival
    kind: RequestClass
    customer: Customer
    accepted_at: float
    useful_ms: float  # an answer later is worth nothing
    attempts: list[Attempt] = field(default_factory=list)
    counted: float = 0.0  # units told to the counter
    granted: bool | None = None  # of the counter's store
    first_run_at: float = math.inf  # when the first attempt that may have run was sent
    first_run_server: Server | None = None
    cause: str = ""  # what it was refused for at first
    drawn_units: tuple[float, float] = (0.0, 0.0)  # taken from the bucket and from the whole store when it was let in
    reached_server: bool = (
        False  # whether an attempt may have come whole to a server: only then it counts against a quota
    )
    ended: bool = False
    overdue: bool = False  # and counted as slow

    def start_attempt(self, server: ServerState, now: float) -> None:
        """Book a new attempt; each counts as out, a later one of a request too, since each books its end."""
        self.customer.open += not self.has_open
        server.cold_tokens, server.sent = server.cold_tokens - (server.cold_since is not None), now
        server.open, server.answer_at = server.open + 1.0, server.answer_at if server.open else now
        self.attempts.append(Attempt(server, now))

    def take_tokens(self, rate: float) -> None:
        """Take the units of a request that is let in, as far as the stores hold them."""
        self.drawn_units = min(self.units, self.customer.bucket), min(self.units, self.customer.shared_bucket)
        self.customer.take_tokens(*self.drawn_units)
        self.customer.record_sent(self.units, rate)

    def finish_attempt(self, attempt: Attempt, now: float, ending: Ending) -> bool:
        """Book the end of an attempt, and tell whether it may have run."""
        ran = ending not in (Ending.FULL, Ending.CONNECT_FAILED, Ending.MOOT)
        self.reached_server |= ending is not Ending.MOOT
        attempt.open = False
        attempt.target.open, attempt.target.answer_at = attempt.target.open - 1.0, now
        self.customer.open -= not self.has_open
        if ran and attempt.sent < self.first_run_at:
            self.first_run_at, self.first_run_server = attempt.sent, attempt.target.server
        return ran

    def send_action(self, now: float, margin: float) -> Send:
        """Give the action for its last attempt; a repeat must be written within a share of the class's window."""
        write_by = math.inf if self.kind.effect is Effect.REPEATABLE else self.repeat_deadline(margin)
        address = self.attempts[-1].target.server.address
        return Send(self.id, address, max(1.0, self.useful_until - now), write_by)

    def repeat_deadline(self, margin: float) -> float:
        """Give when a share of the class's window is over, from the first attempt that may have run; if none, never."""
        return self.first_run_at + margin * self.kind.window_ms

    @property
    def index(self) -> int:
        """The number of its class."""
        return self.arrival.request_class

    @property
    def aim_at(self) -> float:
        """When the wanted time is over."""
        return self.accepted_at + self.kind.aim_ms

    @property
    def deadline(self) -> float:
        """When the client gives up."""
        return self.accepted_at + self.arrival.left_ms

    @property
    def useful_until(self) -> float:
        """When an answer loses all worth."""
        return self.accepted_at + self.useful_ms

    @property
    def id(self) -> int:
        """The request's number."""
        return self.arrival.request

    @property
    def units(self) -> float:
        """The units that it draws."""
        return self.arrival.units

    @property
    def has_open(self) -> bool:
        """Whether an attempt is still out."""
        return any(attempt.open for attempt in self.attempts)

    @property
    def never_ran(self) -> bool:
        """Whether every attempt so far is proved not to have run."""
        return self.first_run_at == math.inf and not self.has_open


CounterCall = tuple[
    float, InFlightRequest, float, float | None
]  # to the counter: amount, request, when, total to put right


@dataclass(eq=False)
class GatewayState:
    """All that one gateway holds; every start begins with an empty one."""

    now: float = 0.0
    quota_owner: QuotaOwner | None = None
    started: float = 0.0
    actions: list[Action] = field(default_factory=list)
    customers: dict[str, Customer] = field(default_factory=dict)
    by_code: dict[int, Customer] = field(default_factory=dict)
    tracked: dict[int, Customer] = field(default_factory=dict)  # the busiest, by code
    active: dict[int, Customer] = field(default_factory=dict)  # seen in this interval, by code
    unsent: dict[int, float] = field(default_factory=dict)  # units since the last message, by code
    unsent_open: dict[int, int] = field(default_factory=dict)  # attempts out that peers were not told of, by code
    open_counts: dict[int, int] = field(default_factory=dict)  # attempts out of capped customers that have any
    sent_sums: dict[int, int] = field(default_factory=dict)  # of all told of a customer, half units counted round
    received_sums: dict[tuple[int, int], int] = field(default_factory=dict)  # the same as heard, by peer and code
    broadcast_at: float = -math.inf  # when peers were last told anything
    broadcast_due: bool = False  # whether a timer stands for telling them of attempts out
    # What peers sent on for customers that are not known here, by code: when and how many units
    unknown_use: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    set_message_tokens: float = 0.0  # messages to single peers that may go, and when that was brought up to date
    set_message_tokens_at: float = 0.0
    peer_news_at: float = -math.inf  # when a peer was last heard
    servers: dict[str, ServerState] = field(default_factory=dict)
    in_flight: dict[int, InFlightRequest] = field(default_factory=dict)
    ask_share: float = 1.0  # of the tries that call the counter
    reply_at: float = -math.inf  # when one was last heard
    no_reply_at: float = -math.inf  # when a call last went without an answer
    pending_calls: dict[int, deque[CounterCall]] = field(default_factory=dict)  # out there, by name
    delays: list[float] = field(default_factory=list)  # latency over aim of the last answers
    admit_shares: dict[int, float] = field(default_factory=dict)  # percent of demand that peers told, by code
    warm_rate: float = 0.0  # attempts/s to a warm server
    warm_sends: float = 0.0  # this and the next four: sums over the interval
    delay_sum: float = 0.0
    served: float = 0.0
    overloads: float = 0.0
    ends: float = 0.0
    retry_budget: float = 0.0  # the retry budget
    overloaded: bool = False
    interval_due: float = math.inf
    stall_at: float = -math.inf  # when this gateway last found that it had stood still
    mean_load: float = 0.0  # requests of others that a server has as a rule
    healthy: list[ServerState] = field(default_factory=list)  # those listed as healthy
    all_slow: bool = False  # whether the fleet as a whole is
    rate: float = math.inf  # tries/s that they bear from here
    initial_rate: float = math.inf  # and at first, when nothing is known
    admit_tokens: float = 2.0  # tries that may be let in, and when that was brought up to date
    filled_at: float = 0.0
    open: float = 0.0  # attempts out at all servers
    admitted: float = 0.0  # tries let in, this interval and usually
    avg_admitted: float = 0.0

    def take_message_tokens(self, count: int, per_s: float) -> bool:
        """Take room for some messages to single peers, of so many a second; a second's worth is saved at most."""
        available = min(per_s, self.set_message_tokens + per_s * (self.now - self.set_message_tokens_at) / 1000.0)
        self.set_message_tokens_at, self.set_message_tokens = self.now, available - count * (count <= available)
        return count <= available

    def add_call(self, name: int, call: CounterCall) -> None:
        """Keep a call to the counter until its answer: answers for a name come in the order of the calls."""
        self.pending_calls.setdefault(name, deque()).append(call)

    def take_call(self, name: int) -> CounterCall | None:
        """Give the call that an answer belongs to."""
        calls = self.pending_calls.get(name)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del self.pending_calls[name]
        return call

    def refund(self, request: InFlightRequest) -> None:
        """Give back the units of a request that has ended and was never sent on.

        What the counter had granted goes back with the next call; what peers were not told of yet, they never are.
        """
        customer = request.customer
        if request.reached_server or request.has_open:
            return
        if request.granted:
            customer.correction -= request.counted
        if request.attempts:
            customer.take_tokens(-request.drawn_units[0], -request.drawn_units[1])
            customer.shared_bucket, customer.cap = (
                min(customer.plan.burst, customer.shared_bucket),
                customer.cap + request.units,
            )
            if customer.code in self.unsent:
                self.unsent[customer.code] = max(0.0, self.unsent[customer.code] - request.units)

    def set_admit_share(self, code: int, percent: float, most: int) -> None:
        """Keep a told share of demand, also for a customer that may come; a full table begins anew."""
        if len(self.admit_shares) >= most:
            self.admit_shares.clear()
        self.admit_shares[code] = percent
        if code in self.by_code:
            self.by_code[code].admit_share = min(1.0, percent / 100.0)

    def drop_idle(self, before: float) -> None:
        """Drop the customers not seen since a time, and what was told of others, so that memory stays bounded."""
        for code, used in list(self.unknown_use.items()):
            if used[0][0] < before:
                self.unknown_use[code] = [entry for entry in used if entry[0] >= before]
                if not self.unknown_use[code]:
                    del self.unknown_use[code]
        for name in [n for n, c in self.customers.items() if c.seen_at < before and not c.open]:
            code = self.customers.pop(name).code
            self.tracked.pop(code, None)
            self.by_code.pop(code, None)


def decay(value: float, rest: float, half_lives: float) -> float:
    """Give what is left of a value on its way back to rest."""
    return float(rest + (value - rest) * 0.5**half_lives)


def spend(bucket: float, units: float, exact: bool = True) -> float:
    """Give a store after requests of one unit or more: what goes beyond a quota takes nothing from it.

    Not ``exact``, each takes what there is: news that is fresh finds little beyond, and caution gains more.
    """
    return bucket - max(0.0, min(units, math.floor(bucket) if exact else bucket))


def replay(plan: Plan, used: list[tuple[float, float]], now: float) -> float:
    """Give what is left of a store that was full before it was used at these times (ms) by so many units."""
    bucket, at = plan.burst, now
    for when, units in used:
        bucket = spend(min(plan.burst, bucket + plan.rate * max(0.0, when - at) / 1000.0), units)
        at = when
    return min(plan.burst, bucket + plan.rate * max(0.0, now - at) / 1000.0)
