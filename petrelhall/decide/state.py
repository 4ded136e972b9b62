"""State that a gateway keeps of customers, servers and requests: plain records, no decisions.

Times are in ms on the clock that is passed in with each event. Units are those of the plans, rates are per second.
An open attempt is one without an outcome yet. A normalized latency is a multiple of the target latency (``aim_ms``)
of the request's class.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

from petrelhall.decide.interface import Action, Arrival, Effect, Ending, Plan, RequestClass, Send, Server

# Time after which an idle customer is forgotten, so that memory stays bounded.
IDLE_CUSTOMER_TTL_MS = 15000.0
# Share of the customers that is forgotten at a time where there are too many.
FORGET_BATCH_SHARE = 0.02
# Fewest customers that are compared for that.
FORGET_MIN_SAMPLE = 8
# Of this gateway's ceilings, for each of the two processes of an upgrade.
UPGRADE_CEILING_PART = 0.5


class OwnedQuota(Protocol):
    """The part of a customer's quota and ceiling that this gateway owns, where gateways share them by ownership."""

    def available(self, now: float) -> tuple[float, float]:
        """Return the units of the quota and of the ceiling that may be spent now; infinite where the plan has none."""

    def want(self, now: float, units: float) -> None:
        """Record demand for units, whether or not it can be met."""

    def spend(self, now: float, units: float) -> None:
        """Deduct units that were spent."""

    def fill(self, now: float) -> None:
        """Fill the owned part: all gateways started together, so that nothing had been used before."""


class QuotaOwner(Protocol):
    """Allocates owned parts of quotas."""

    def account(self, customer: Customer, now: float) -> OwnedQuota | None:
        """Return the owned part of a customer's quota; None where the customer's token buckets decide instead."""


@dataclass(eq=False, slots=True)
class Customer:
    """One customer as this gateway knows it; token buckets hold units, rates are in units/s."""

    plan: Plan
    set_size: int  # number of gateways that the customer uses
    code: int  # identifies the customer in messages to peers and at the shared counter
    seen_at: float  # when its last request arrived
    others_reported_at: float  # when use through other gateways was last reported
    set_first: int = 0  # number of the first gateway that it uses
    even_share: float = 1.0  # one over the number of gateways that it uses
    refilled_at: float = 0.0  # when the buckets were last brought up to date
    bucket: float = 0.0  # this gateway's own token bucket of the quota; begins with the even share of the burst
    shared_bucket: float = 0.0  # estimate of the quota's whole bucket, over all gateways
    use_known: bool = False  # whether its use over all gateways was ever reported
    overflow: float = 0.0  # tokens that the full shared bucket has discarded since the last report
    admit_share: float = 1.0  # estimated share of its demand that the quota covers
    ceiling_bucket: float = 0.0  # token bucket of this gateway's even share of the ceiling
    demand: float = 0.0  # recent rate of units requested
    sent_rate: float = 0.0  # recent rate of units sent to servers by this gateway
    others_rate: float = 0.0  # recent rate of units sent to servers by other gateways
    interval_units: float = 0.0  # units requested in the current interval
    counter_total: float = 0.0  # last total that the shared counter returned
    counter_level: float = 0.0  # tokens in the bucket on the shared counter at ``counter_level_at``
    counter_level_at: float = -math.inf
    counter_correction: float = 0.0  # units to add to the amount of the next counter call
    counter_total_name: int = -1  # counter name that ``counter_total`` was read from; -1: none yet
    open_attempts: int = 0  # its requests that have an open attempt at this gateway
    owned_quota: OwnedQuota | None = None  # where set, it decides in place of the buckets above
    # By peer: open attempts, when reported.
    peer_open_attempts: dict[int, tuple[float, float]] = field(default_factory=dict)
    samples: list[tuple[float, float]] = field(default_factory=list)  # units and load pressure of recent intervals
    consecutive_flags: int = 0  # consecutive intervals in which its use correlated with load pressure
    throttle_rate: float = 0.0  # units/s; 0 while the customer is not throttled
    throttle_bucket: float = 0.0

    def __post_init__(self) -> None:
        """Fill the quota's buckets to the plan's burst.

        The ceiling's bucket stays empty: a restarted gateway must assume that its share has been spent.
        """
        self.even_share, self.refilled_at = 1.0 / max(1, self.set_size), self.seen_at
        self.bucket, self.shared_bucket = self.plan.burst * self.even_share, self.plan.burst

    def add_tokens(self, elapsed_s: float, shared_rate: float, ceiling_rate: float, ceiling_max: float) -> None:
        """Add the tokens of ``elapsed_s`` seconds to the buckets; an owned quota replaces their contents."""
        shared = self.shared_bucket + shared_rate * elapsed_s
        self.shared_bucket = min(self.plan.burst, shared)
        self.overflow += shared - self.shared_bucket
        self.ceiling_bucket = min(ceiling_max, self.ceiling_bucket + ceiling_rate * elapsed_s)
        if self.owned_quota is not None:
            units, ceiling_units = self.owned_quota.available(self.refilled_at)
            if units < math.inf:
                self.bucket = self.shared_bucket = units
            self.ceiling_bucket = ceiling_units if ceiling_units < math.inf else self.ceiling_bucket
        self.throttle_bucket = min(1.0 + self.throttle_rate, self.throttle_bucket + self.throttle_rate * elapsed_s)

    def decay_rates(self, factor: float, others: bool) -> None:
        """Decay the recent rates; that of other gateways only with ``others``, where no newer report replaces it."""
        self.demand, self.sent_rate = self.demand * factor, self.sent_rate * factor
        self.others_rate *= factor if others else 1.0

    def max_level(self, now: float) -> float:
        """Return the most tokens that the customer's bucket on the shared counter can hold now."""
        return self.counter_level + self.plan.rate * (now - self.counter_level_at) / 1000.0

    def other_gateways(self, own: int, gateways: int) -> tuple[int, ...]:
        """Return the numbers of the other gateways that the customer uses: consecutive ones, modulo ``gateways``."""
        numbers = ((self.set_first + step) % gateways for step in range(min(self.set_size, gateways)))
        return tuple(number for number in numbers if number != own)

    def record_demand(self, now: float, units: float, rate: float) -> None:
        """Record a request for units."""
        self.seen_at, self.interval_units, self.demand = now, self.interval_units + units, self.demand + rate
        if self.owned_quota is not None:
            self.owned_quota.want(now, units)

    def record_sent(self, units: float, rate: float) -> None:
        """Deduct units that are sent to a server from all buckets but the quota's."""
        self.ceiling_bucket, self.throttle_bucket = self.ceiling_bucket - units, self.throttle_bucket - units
        self.sent_rate += rate
        if self.owned_quota is not None:
            self.owned_quota.spend(self.refilled_at, units)

    def missing_share(self, now: float, new_ceiling_bucket: float) -> float:
        """Return the largest share of a token bucket that is used up now, which the customer would regain if forgotten.

        ``new_ceiling_bucket`` holds the tokens that a new customer's ceiling begins with.
        """
        elapsed_s = (now - self.refilled_at) / 1000.0
        missing = 0.0
        if self.plan.burst > 0:
            level = min(self.bucket / self.even_share, self.shared_bucket)
            missing = 1.0 - (level + self.plan.rate * elapsed_s) / self.plan.burst
        if new_ceiling_bucket > 0:
            level = self.ceiling_bucket + self.plan.ceiling_rate * self.even_share * elapsed_s
            missing = max(missing, 1.0 - level / new_ceiling_bucket)
        return max(0.0, missing, float(self.throttle_rate > 0))

    def stop_tracking(self) -> None:
        """Discard the samples of the correlation test and lift the throttle that followed from them."""
        self.samples, self.consecutive_flags, self.throttle_rate = [], 0, 0.0

    def take_tokens(self, bucket: float, shared: float) -> None:
        """Deduct units from the quota's local and shared buckets."""
        self.bucket, self.shared_bucket = self.bucket - bucket, self.shared_bucket - shared


@dataclass(eq=False)
class ServerState:
    """One server as this gateway knows it."""

    server: Server
    limit: float  # concurrency limit: attempts that this gateway may have open at the server
    cold_tokens: float  # attempts that may be sent to the server while it is cold
    cold_tokens_at: float  # when ``cold_tokens`` was last brought up to date
    limit_cut_at: float = 0.0  # when the limit was last reduced
    open_attempts: float = 0.0  # open attempts of this gateway
    open_uploads: float = 0.0  # those of requests whose bodies are passed on, which may take long at any server
    other_load: float = 0.0  # requests of other gateways, from the server's last load report
    reported_at: float = 0.0  # when the last load report came
    slowness: float = 1.0  # smoothed ratio of latency to the latency expected of the fleet
    normalized_latency: float = 0.0  # smoothed
    measured_at: float = 0.0  # when ``slowness`` and ``normalized_latency`` were last updated
    last_sent_at: float = 0.0  # when the last attempt was sent; 0 if none was. Uploads do not count
    # When the last outcome came, or the first attempt was sent after a time with none open but uploads.
    answer_at: float = 0.0
    resets: int = 0  # consecutive connection resets
    ejections: int = 0  # consecutive ejections as an outlier
    ejected_until: float = 0.0
    down_at: float = 0.0  # when a connection last failed; 0 while the server is up
    health: dict[int, tuple[float, float]] = field(default_factory=dict)  # by class: chance of success, when updated
    cold_since: float | None = None  # None while the server is warm

    @property
    def restarted_at(self) -> float:
        """When the server last started, or was last found to be down: its process may have changed since."""
        return max(self.server.since_ms, self.down_at, self.cold_since or 0.0)


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to have a request served."""

    target: ServerState
    sent_at: float
    is_open: bool = True


@dataclass(eq=False, slots=True)
class InFlightRequest:
    """A request that is owed a final answer until ``ended`` is set."""

    arrival: Arrival
    request_class: RequestClass
    customer: Customer
    accepted_at: float
    useful_ms: float  # time after acceptance at which an answer becomes worthless
    attempts: list[Attempt] = field(default_factory=list)
    counted_units: float = 0.0  # units added to the shared counter for it
    granted: bool | None = None  # verdict of the bucket on the shared counter; None: not asked
    first_run_at: float = math.inf  # when the earliest attempt that may have run was sent
    first_run_server: Server | None = None
    cause: str = ""  # why it was first refused
    drawn_units: tuple[float, float] = (0.0, 0.0)  # taken from the local and the shared bucket on admission
    # Whether an attempt may have reached a server whole: only then does the request count against a quota.
    reached_server: bool = False
    ended: bool = False
    overdue: bool = False  # whether its latency was already recorded, since its first attempt was overdue

    def start_attempt(self, server: ServerState, now: float) -> None:
        """Record a new attempt.

        Each one counts as open at its server, later ones of the same request too, since each outcome is recorded.
        """
        self.customer.open_attempts += not self.has_open_attempt
        server.cold_tokens -= server.cold_since is not None
        if self.arrival.is_upload:
            server.open_uploads += 1.0
        else:
            server.last_sent_at = now
            if server.open_attempts == server.open_uploads:
                server.answer_at = now
        server.open_attempts += 1.0
        self.attempts.append(Attempt(server, now))

    def take_tokens(self, rate: float) -> None:
        """Deduct the units of an admitted request, as far as the buckets hold them."""
        self.drawn_units = min(self.units, self.customer.bucket), min(self.units, self.customer.shared_bucket)
        self.customer.take_tokens(*self.drawn_units)
        self.customer.record_sent(self.units, rate)

    def finish_attempt(self, attempt: Attempt, now: float, ending: Ending) -> bool:
        """Record the outcome of an attempt, and return whether it may have run on the server."""
        ran = ending not in (Ending.FULL, Ending.CONNECT_FAILED, Ending.MOOT)
        self.reached_server |= ending is not Ending.MOOT
        attempt.is_open = False
        attempt.target.open_attempts, attempt.target.answer_at = attempt.target.open_attempts - 1.0, now
        attempt.target.open_uploads -= self.arrival.is_upload
        self.customer.open_attempts -= not self.has_open_attempt
        if ran and attempt.sent_at < self.first_run_at:
            self.first_run_at, self.first_run_server = attempt.sent_at, attempt.target.server
        return ran

    def send_action(self, now: float, margin: float) -> Send:
        """Return the action that sends the latest attempt.

        Unless the class is repeatable, a repeat must be written within a share ``margin`` of the class's window.
        """
        write_by = math.inf if self.request_class.effect is Effect.REPEATABLE else self.repeat_deadline(margin)
        address = self.attempts[-1].target.server.address
        return Send(self.id, address, max(1.0, self.useful_until - now), write_by)

    def repeat_deadline(self, margin: float) -> float:
        """Return when a share ``margin`` of the class's window has passed since the first attempt that may have run.

        Infinite if no attempt can have run.
        """
        return self.first_run_at + margin * self.request_class.window_ms

    @property
    def class_index(self) -> int:
        """Index of the request's class in the settings."""
        return self.arrival.request_class

    @property
    def aim_at(self) -> float:
        """When the class's target latency has passed."""
        return self.accepted_at + self.request_class.aim_ms

    @property
    def deadline(self) -> float:
        """When the client gives up."""
        return self.accepted_at + self.arrival.left_ms

    @property
    def useful_until(self) -> float:
        """When an answer becomes worthless."""
        return self.accepted_at + self.useful_ms

    @property
    def id(self) -> int:
        """The request's number."""
        return self.arrival.request

    @property
    def units(self) -> float:
        """Units that the request takes from the quota."""
        return self.arrival.units

    @property
    def has_open_attempt(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.is_open for attempt in self.attempts)

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that no attempt so far has run on a server."""
        return self.first_run_at == math.inf and not self.has_open_attempt


# A call of the shared counter: amount, request, time of the call, and the total that it corrects (None: an ordinary
# call).
CounterCall = tuple[float, InFlightRequest, float, float | None]


@dataclass(eq=False)
class GatewayState:
    """All state of one gateway; every start begins with an empty one."""

    now: float = 0.0
    quota_owner: QuotaOwner | None = None
    started: float = 0.0  # when this gateway started
    actions: list[Action] = field(default_factory=list)
    customers: dict[str, Customer] = field(default_factory=dict)  # by name, the one seen last at the end
    max_customers: float = math.inf  # customers that are remembered
    # Part of this gateway's share of the ceilings that this process may spend: during an upgrade there are two.
    ceiling_part: float = 1.0
    fills_ceilings: bool = True  # not in a process that is replaced: it spends what it has left
    by_code: dict[int, Customer] = field(default_factory=dict)
    tracked_customers: dict[int, Customer] = field(default_factory=dict)  # by code: the busiest, tested for correlation
    active_customers: dict[int, Customer] = field(default_factory=dict)  # by code: those seen in the current interval
    unsent_units: dict[int, float] = field(default_factory=dict)  # by code: units not yet reported to peers
    unsent_open_attempts: dict[int, int] = field(default_factory=dict)  # by code: counts not yet reported to peers
    # By code, for customers with a limit on concurrent attempts that have open ones: how many.
    open_attempt_counts: dict[int, int] = field(default_factory=dict)
    # By code: sum of all half units ever reported of a customer, modulo 256.
    sent_sums: dict[int, int] = field(default_factory=dict)
    received_sums: dict[tuple[int, int], int] = field(default_factory=dict)  # by peer and code: sums that peers sent
    broadcast_at: float = -math.inf  # when the last message went to all peers
    broadcast_due: bool = False  # whether a timer is set to report open attempts to all peers
    # By code, for customers not known here: when peers reported use, and how many units.
    unknown_use: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    set_message_tokens: float = 0.0  # messages to single peers that may be sent
    set_message_tokens_at: float = 0.0  # when ``set_message_tokens`` was last brought up to date
    peer_message_at: float = -math.inf  # when a peer's message last arrived
    servers: dict[str, ServerState] = field(default_factory=dict)
    in_flight: dict[int, InFlightRequest] = field(default_factory=dict)
    counter_sampling_share: float = 1.0  # share of requests for which the shared counter is called
    counter_reply_at: float = -math.inf  # when a counter call last succeeded
    counter_failure_at: float = -math.inf  # when a counter call last failed
    pending_calls: dict[int, deque[CounterCall]] = field(default_factory=dict)  # by counter name
    normalized_latencies: list[float] = field(default_factory=list)  # of the latest answers
    admit_shares: dict[int, float] = field(default_factory=dict)  # by code: reported percentage of demand to admit
    warm_rate: float = 0.0  # attempts/s to one warm server
    # Sums over the current interval, as are the next four: attempts sent to warm servers in good health.
    warm_sends: float = 0.0
    normalized_latency_sum: float = 0.0  # of served attempts
    served_attempts: float = 0.0
    overload_outcomes: float = 0.0  # attempts that timed out or met a full server
    ended_attempts: float = 0.0  # attempts that ended, unless cancelled or never made
    retry_budget: float = 0.0  # tokens for retries
    overloaded: bool = False  # whether the fleet is overloaded, by the test at the end of an interval
    interval_due: float = math.inf  # when the timer of the current interval should expire
    stall_at: float = -math.inf  # when this process last noticed that it had stalled
    mean_load: float = 0.0  # smoothed number of other gateways' requests at a server
    healthy_servers: list[ServerState] = field(default_factory=list)  # servers that discovery lists as healthy
    all_slow: bool = False  # whether the fleet as a whole is slow
    admission_rate: float = math.inf  # requests/s that this gateway admits
    initial_admission_rate: float = math.inf  # admission rate while nothing is known of the fleet
    admit_tokens: float = 2.0  # token bucket of the admission rate
    admit_tokens_at: float = 0.0  # when ``admit_tokens`` was last brought up to date
    open_attempts: float = 0.0  # open attempts at all servers
    open_uploads: float = 0.0  # those of requests whose bodies are passed on
    admitted: float = 0.0  # requests admitted during the current interval
    avg_admitted: float = 0.0  # smoothed number of requests admitted per interval

    def take_message_tokens(self, count: int, per_s: float) -> bool:
        """Take tokens for ``count`` messages to single peers, if there are enough; at most one second's are saved."""
        available = min(per_s, self.set_message_tokens + per_s * (self.now - self.set_message_tokens_at) / 1000.0)
        self.set_message_tokens_at, self.set_message_tokens = self.now, available - count * (count <= available)
        return count <= available

    def add_call(self, name: int, call: CounterCall) -> None:
        """Keep a counter call until its reply comes: replies for a name come in the order of the calls."""
        self.pending_calls.setdefault(name, deque()).append(call)

    def take_call(self, name: int) -> CounterCall | None:
        """Remove and return the call that a reply for ``name`` belongs to."""
        calls = self.pending_calls.get(name)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del self.pending_calls[name]
        return call

    def refund(self, request: InFlightRequest) -> None:
        """Return the units of a request that has ended without reaching a server.

        Units granted by the shared counter are returned with the next call. Units not yet reported to peers are
        never reported.
        """
        customer = request.customer
        if request.reached_server or request.has_open_attempt:
            return
        if request.granted:
            customer.counter_correction -= request.counted_units
        if request.attempts:
            customer.take_tokens(-request.drawn_units[0], -request.drawn_units[1])
            customer.shared_bucket, customer.ceiling_bucket = (
                min(customer.plan.burst, customer.shared_bucket),
                customer.ceiling_bucket + request.units,
            )
            if customer.code in self.unsent_units:
                self.unsent_units[customer.code] = max(0.0, self.unsent_units[customer.code] - request.units)

    def set_admit_share(self, code: int, percent: float, most: int) -> None:
        """Keep the percentage of a customer's demand to admit, also for one not known here yet.

        A table with ``most`` entries is cleared first, which bounds memory.
        """
        if len(self.admit_shares) >= most:
            self.admit_shares.clear()
        self.admit_shares[code] = percent
        if code in self.by_code:
            self.by_code[code].admit_share = min(1.0, percent / 100.0)

    def drop_idle(self, before: float) -> None:
        """Drop customers last seen, and reports of unknown ones received, before a time: this bounds memory."""
        for code, used in list(self.unknown_use.items()):
            if used[0][0] < before:
                self.unknown_use[code] = [entry for entry in used if entry[0] >= before]
                if not self.unknown_use[code]:
                    del self.unknown_use[code]
        for name in [n for n, c in self.customers.items() if c.seen_at < before and not c.open_attempts]:
            self.forget_customer(name)

    def forget_customer(self, name: str) -> None:
        """Drop all that is known of a customer; with its next request it starts anew."""
        code = self.customers.pop(name).code
        for by_code in (self.tracked_customers, self.active_customers, self.by_code):
            by_code.pop(code, None)

    def make_room_for_customer(self) -> None:
        """Forget customers where as many are remembered as may be.

        Of those seen least recently the ones go whose token buckets miss the least, since they would regain that;
        those who have used up their quota or ceiling stay longest. Those with an open attempt stay.
        """
        if len(self.customers) < self.max_customers:
            return
        batch = max(1, int(self.max_customers * FORGET_BATCH_SHARE))
        oldest = islice(self.customers.items(), max(FORGET_MIN_SAMPLE, 2 * batch))
        candidates = [
            (customer.missing_share(self.now, self.initial_ceiling_bucket(customer)), name)
            for name, customer in oldest
            if not customer.open_attempts
        ]
        for _, name in heapq.nsmallest(batch, candidates):
            self.unsent_units.pop(self.customers[name].code, None)  # or this would grow with ever new customers
            self.forget_customer(name)

    def initial_ceiling_bucket(self, customer: Customer) -> float:
        """Return the tokens that the ceiling of a customer begins with when it is seen for the first time.

        It has been unseen for IDLE_CUSTOMER_TTL_MS, or since the start: its use before that is not known.
        """
        unseen_s = min(IDLE_CUSTOMER_TTL_MS, self.now - self.started) / 1000.0
        part = self.ceiling_part if self.fills_ceilings else 0.0
        return part * customer.even_share * customer.plan.ceiling_rate * unseen_s

    def give_away_ceilings(self) -> None:
        """Leave a part of what this process may spend of ceilings to another one, which holds a copy of this state."""
        self.ceiling_part *= UPGRADE_CEILING_PART
        for customer in self.customers.values():
            # What is overdrawn is owed by both: neither may spend before it is repaid.
            customer.ceiling_bucket = min(customer.ceiling_bucket, UPGRADE_CEILING_PART * customer.ceiling_bucket)


def decay(value: float, rest: float, half_lives: float) -> float:
    """Return a value after exponential decay towards ``rest``."""
    return float(rest + (value - rest) * 0.5**half_lives)


def spend(bucket: float, units: float, exact: bool = True) -> float:
    """Return a bucket's level after requests of at least one unit each: use beyond the quota takes nothing from it.

    With ``exact`` only whole units are taken. Without it, use takes whatever fraction is left: recent reports contain
    little use beyond the quota, and the cautious estimate gains more.
    """
    return bucket - max(0.0, min(units, math.floor(bucket) if exact else bucket))


def replay(plan: Plan, used: list[tuple[float, float]], now: float) -> float:
    """Return the level of a bucket that was full before ``used``: times (ms) and units, in order of time."""
    bucket, at = plan.burst, now
    for when, units in used:
        bucket = spend(min(plan.burst, bucket + plan.rate * max(0.0, when - at) / 1000.0), units)
        at = when
    return min(plan.burst, bucket + plan.rate * max(0.0, now - at) / 1000.0)
