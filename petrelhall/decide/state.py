"""What a gateway remembers of customers, servers and requests: plain records, no decisions."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from petrelhall.decide.interface import Action, Arrival, Effect, Ending, Plan, RequestClass, Send, Server


class Owned(Protocol):
    """What this gateway owns of a customer's quota and ceiling, where shares are owned."""

    def available(self, now: float) -> tuple[float, float]:
        """Give the units of the quota and of the ceiling that may be spent now; infinite where the plan has none."""

    def want(self, now: float, units: float) -> None:
        """Hear that units are asked for."""

    def spend(self, now: float, units: float) -> None:
        """Book units as spent."""

    def fill(self, now: float) -> None:
        """Hear that all gateways began together: nobody had used anything before."""


class Owner(Protocol):
    """Whoever keeps the shares."""

    def account(self, customer: Customer, now: float) -> Owned | None:
        """Give what is owned of a customer; None where the stores here are to decide."""


@dataclass(eq=False)
class Customer:
    """One customer as seen from here; stores in units, rates in units/s."""

    plan: Plan
    set_size: int
    code: int  # stands for it in messages and at the counter
    seen: float
    news_at: float  # when the others' use was last heard of
    set_first: int = 0  # the first of the gateways that it uses
    even: float = 1.0  # the even slice: one over the number of gateways that it uses
    filled: float = 0.0  # when its stores were last brought up to date
    bucket: float = 0.0  # the even slice at the start
    shared: float = 0.0  # the whole store, as far as is known
    heard: bool = False  # whether its use by all was ever told
    spilled: float = 0.0  # fill that a full shared store has lost since the last news
    share: float = 1.0  # of its demand that the quota bears, as far as is known
    cap: float = 0.0  # this gateway's part of the ceiling
    demand: float = 0.0
    sent: float = 0.0
    others: float = 0.0
    units: float = 0.0  # asked in this interval
    total: float = 0.0  # the counter's last word
    level: float = 0.0  # of its store on the counter, and when
    level_at: float = -math.inf
    unsaid: float = 0.0  # to be added with the next call
    total_of: int = -1  # and the name that it was of
    open: int = 0
    owned: Owned | None = None  # decides in place of the stores above
    elsewhere: dict[int, tuple[float, float]] = field(default_factory=dict)  # out at each peer, and when told
    pairs: list[tuple[float, float]] = field(default_factory=list)  # the column: units and pressure
    runs: int = 0  # tests in a row that flagged it
    cut_rate: float = 0.0
    cut_store: float = 0.0

    def __post_init__(self) -> None:
        """Fill the stores as a plan does; a restarted gateway must assume its part of the ceiling spent."""
        self.even, self.filled = 1.0 / max(1, self.set_size), self.seen
        self.bucket, self.shared = self.plan.burst * self.even, self.plan.burst

    def fill(self, elapsed: float, shared_rate: float, cap_rate: float, cap_most: float) -> None:
        """Fill the stores for some seconds at the given rates."""
        shared = self.shared + shared_rate * elapsed
        self.shared = min(self.plan.burst, shared)
        self.spilled += shared - self.shared
        self.cap = min(cap_most, self.cap + cap_rate * elapsed)
        if self.owned is not None:
            units, cap = self.owned.available(self.filled)
            if units < math.inf:
                self.bucket = self.shared = units
            self.cap = cap if cap < math.inf else self.cap
        self.cut_store = min(1.0 + self.cut_rate, self.cut_store + self.cut_rate * elapsed)

    def fade(self, factor: float, others: bool) -> None:
        """Let the recent rates decay; the others' only where nothing better is known."""
        self.demand, self.sent = self.demand * factor, self.sent * factor
        self.others *= factor if others else 1.0

    def level_now(self, now: float) -> float:
        """Give the most that its store on the counter can hold now."""
        return self.level + self.plan.rate * (now - self.level_at) / 1000.0

    def others_of_set(self, own: int, gateways: int) -> tuple[int, ...]:
        """Give the numbers of the other gateways that it uses: some in a row, counted round."""
        numbers = ((self.set_first + step) % gateways for step in range(min(self.set_size, gateways)))
        return tuple(number for number in numbers if number != own)

    def ask(self, now: float, units: float, rate: float) -> None:
        """Book what it asks for."""
        self.seen, self.units, self.demand = now, self.units + units, self.demand + rate
        if self.owned is not None:
            self.owned.want(now, units)

    def send(self, units: float, rate: float) -> None:
        """Book what is sent on for it, beside the quota."""
        self.cap, self.cut_store = self.cap - units, self.cut_store - units
        self.sent += rate
        if self.owned is not None:
            self.owned.spend(self.filled, units)

    def leave_column(self) -> None:
        """Lose the column and what followed from it."""
        self.pairs, self.runs, self.cut_rate = [], 0, 0.0

    def draw(self, bucket: float, shared: float) -> None:
        """Take units from the stores of the quota."""
        self.bucket, self.shared = self.bucket - bucket, self.shared - shared


@dataclass(eq=False)
class Link:
    """One server as seen from here."""

    server: Server
    limit: float  # attempts that may be out at it from here
    cold_store: float  # attempts that may go to it while it is cold
    cold_filled: float
    limit_cut: float = 0.0  # when the limit last fell
    out: float = 0.0
    others: float = 0.0  # requests of others that it reported
    reported: float = 0.0
    slowness: float = 1.0  # latency over the fleet's
    wait: float = 0.0  # latency over the aim
    measured: float = 0.0
    sent: float = 0.0  # last attempt
    heard: float = 0.0  # last outcome, or when work was first out since
    resets: int = 0  # in a row
    ejections: int = 0
    ejected_until: float = 0.0
    down_at: float = 0.0  # when it last proved dead; 0 while alive
    health: dict[int, tuple[float, float]] = field(default_factory=dict)  # by class: good, and when
    cold_since: float | None = None


@dataclass(eq=False)
class Attempt:
    """One attempt of a request."""

    link: Link
    sent: float
    out: bool = True


@dataclass(eq=False)
class Job:
    """A request in hand; its final answer is owed until it has ended."""

    event: Arrival
    kind: RequestClass
    customer: Customer
    taken: float
    useful_ms: float  # an answer later is worth nothing
    attempts: list[Attempt] = field(default_factory=list)
    told: float = 0.0  # units told to the counter
    verdict: bool | None = None  # of the counter's store
    ran_at: float = math.inf  # when the first attempt that may have run was sent
    ran_server: Server | None = None
    cause: str = ""  # what it was refused for at first
    drawn: tuple[float, float] = (0.0, 0.0)  # taken from the bucket and from the whole store when it was let in
    written: bool = False  # whether an attempt may have come whole to a server: only then it counts against a quota
    ended: bool = False
    overdue: bool = False  # and counted as slow

    def start(self, link: Link, now: float) -> None:
        """Book a new attempt; each counts as out, a later one of a request too, since each books its end."""
        self.customer.open += not self.waiting
        link.cold_store, link.sent = link.cold_store - (link.cold_since is not None), now
        link.out, link.heard = link.out + 1.0, link.heard if link.out else now
        self.attempts.append(Attempt(link, now))

    def draw(self, rate: float) -> None:
        """Take the units of a request that is let in, as far as the stores hold them."""
        self.drawn = min(self.units, self.customer.bucket), min(self.units, self.customer.shared)
        self.customer.draw(*self.drawn)
        self.customer.send(self.units, rate)

    def settle(self, attempt: Attempt, now: float, ending: Ending) -> bool:
        """Book the end of an attempt, and tell whether it may have run."""
        ran = ending not in (Ending.FULL, Ending.CONNECT_FAILED, Ending.MOOT)
        self.written |= ending is not Ending.MOOT
        attempt.out = False
        attempt.link.out, attempt.link.heard = attempt.link.out - 1.0, now
        self.customer.open -= not self.waiting
        if ran and attempt.sent < self.ran_at:
            self.ran_at, self.ran_server = attempt.sent, attempt.link.server
        return ran

    def last_send(self, now: float, margin: float) -> Send:
        """Give the action for its last attempt; a repeat must be written within a share of the class's window."""
        write_by = math.inf if self.kind.effect is Effect.REPEATABLE else self.repeat_by(margin)
        address = self.attempts[-1].link.server.address
        return Send(self.id, address, max(1.0, self.useful_until - now), write_by)

    def repeat_by(self, margin: float) -> float:
        """Give when a share of the class's window is over, from the first attempt that may have run; if none, never."""
        return self.ran_at + margin * self.kind.window_ms

    @property
    def index(self) -> int:
        """The number of its class."""
        return self.event.request_class

    @property
    def aim_at(self) -> float:
        """When the wanted time is over."""
        return self.taken + self.kind.aim_ms

    @property
    def deadline(self) -> float:
        """When the client gives up."""
        return self.taken + self.event.left_ms

    @property
    def useful_until(self) -> float:
        """When an answer loses all worth."""
        return self.taken + self.useful_ms

    @property
    def id(self) -> int:
        """The request's number."""
        return self.event.request

    @property
    def units(self) -> float:
        """The units that it draws."""
        return self.event.units

    @property
    def waiting(self) -> bool:
        """Whether an attempt is still out."""
        return any(attempt.out for attempt in self.attempts)

    @property
    def never_ran(self) -> bool:
        """Whether every attempt so far is proved not to have run."""
        return self.ran_at == math.inf and not self.waiting


Call = tuple[float, Job, float, float | None]  # to the counter: amount, request, when, total to put right


@dataclass(eq=False)
class Memory:
    """All that one gateway holds; every start begins with an empty one."""

    now: float = 0.0
    owner: Owner | None = None
    started: float = 0.0
    actions: list[Action] = field(default_factory=list)
    customers: dict[str, Customer] = field(default_factory=dict)
    codes: dict[int, Customer] = field(default_factory=dict)
    columns: dict[int, Customer] = field(default_factory=dict)  # the busiest, by code
    asked: dict[int, Customer] = field(default_factory=dict)  # seen in this interval, by code
    told: dict[int, float] = field(default_factory=dict)  # units since the last message, by code
    opened: dict[int, int] = field(default_factory=dict)  # attempts out that peers were not told of, by code
    outs: dict[int, int] = field(default_factory=dict)  # attempts out of capped customers that have any
    sums: dict[int, int] = field(default_factory=dict)  # of all told of a customer, half units counted round
    heard_sums: dict[tuple[int, int], int] = field(default_factory=dict)  # the same as heard, by peer and code
    told_at: float = -math.inf  # when peers were last told anything
    tell_due: bool = False  # whether a timer stands for telling them of attempts out
    # What peers sent on for customers that are not known here, by code: when and how many units
    strangers: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    set_room: float = 0.0  # messages to single peers that may go, and when that was brought up to date
    set_at: float = 0.0
    peers_at: float = -math.inf  # when a peer was last heard
    links: dict[str, Link] = field(default_factory=dict)
    jobs: dict[int, Job] = field(default_factory=dict)
    ask_share: float = 1.0  # of the tries that call the counter
    asked_at: float = -math.inf  # when one was last heard
    unheard_at: float = -math.inf  # when a call last went without an answer
    calls: dict[int, deque[Call]] = field(default_factory=dict)  # out there, by name
    waits: list[float] = field(default_factory=list)  # latency over aim of the last answers
    shares: dict[int, float] = field(default_factory=dict)  # percent of demand that peers told, by code
    warm_rate: float = 0.0  # attempts/s to a warm server
    warm_sends: float = 0.0  # this and the next four: sums over the interval
    lateness: float = 0.0
    served: float = 0.0
    bad: float = 0.0
    ends: float = 0.0
    retries: float = 0.0  # the retry budget
    pressed: bool = False
    interval_due: float = math.inf
    stalled: float = -math.inf  # when this gateway last found that it had stood still
    crowd: float = 0.0  # requests of others that a server has as a rule
    ready: list[Link] = field(default_factory=list)  # those listed as healthy
    slow: bool = False  # whether the fleet as a whole is
    pace: float = math.inf  # tries/s that they bear from here
    first_pace: float = math.inf  # and at first, when nothing is known
    room_store: float = 2.0  # tries that may be let in, and when that was brought up to date
    paced_at: float = 0.0
    out: float = 0.0  # attempts out at all servers
    passes: float = 0.0  # tries let in, this interval and usually
    passed: float = 0.0

    def set_words(self, count: int, per_s: float) -> bool:
        """Take room for some messages to single peers, of so many a second; a second's worth is saved at most."""
        room = min(per_s, self.set_room + per_s * (self.now - self.set_at) / 1000.0)
        self.set_at, self.set_room = self.now, room - count * (count <= room)
        return count <= room

    def called(self, name: int, call: Call) -> None:
        """Keep a call to the counter until its answer: answers for a name come in the order of the calls."""
        self.calls.setdefault(name, deque()).append(call)

    def heard(self, name: int) -> Call | None:
        """Give the call that an answer belongs to."""
        calls = self.calls.get(name)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del self.calls[name]
        return call

    def give_back(self, job: Job) -> None:
        """Give back the units of a request that has ended and was never sent on.

        What the counter had granted goes back with the next call; what peers were not told of yet, they never are.
        """
        customer = job.customer
        if job.written or job.waiting:
            return
        if job.verdict:
            customer.unsaid -= job.told
        if job.attempts:
            customer.draw(-job.drawn[0], -job.drawn[1])
            customer.shared, customer.cap = min(customer.plan.burst, customer.shared), customer.cap + job.units
            if customer.code in self.told:
                self.told[customer.code] = max(0.0, self.told[customer.code] - job.units)

    def remember(self, code: int, percent: float, most: int) -> None:
        """Keep a told share of demand, also for a customer that may come; a full table begins anew."""
        if len(self.shares) >= most:
            self.shares.clear()
        self.shares[code] = percent
        if code in self.codes:
            self.codes[code].share = min(1.0, percent / 100.0)

    def forget(self, before: float) -> None:
        """Drop the customers not seen since a time, and what was told of others, so that memory stays bounded."""
        for code, used in list(self.strangers.items()):
            if used[0][0] < before:
                self.strangers[code] = [entry for entry in used if entry[0] >= before]
                if not self.strangers[code]:
                    del self.strangers[code]
        for name in [n for n, c in self.customers.items() if c.seen < before and not c.open]:
            code = self.customers.pop(name).code
            self.columns.pop(code, None)
            self.codes.pop(code, None)


def faded(value: float, rest: float, half_lives: float) -> float:
    """Give what is left of a value on its way back to rest."""
    return float(rest + (value - rest) * 0.5**half_lives)


def taken(store: float, units: float, exact: bool = True) -> float:
    """Give a store after requests of one unit or more: what goes beyond a quota takes nothing from it.

    Not ``exact``, each takes what there is: news that is fresh finds little beyond, and caution gains more.
    """
    return store - max(0.0, min(units, math.floor(store) if exact else store))


def left_of(plan: Plan, used: list[tuple[float, float]], now: float) -> float:
    """Give what is left of a store that was full before it was used at these times (ms) by so many units."""
    store, at = plan.burst, now
    for when, units in used:
        store = taken(min(plan.burst, store + plan.rate * max(0.0, when - at) / 1000.0), units)
        at = when
    return min(plan.burst, store + plan.rate * max(0.0, now - at) / 1000.0)
