"""All decisions of a petrelhall gateway. Its settings, events and actions are in petrelhall/decide/interface.py.

"The paper" is Porter et al., Self-Adaptive Web Services: Selective Admission Control Using Request Correlation (2005).
"""

from __future__ import annotations

import heapq
import math
import random
import statistics
import zlib

from petrelhall.decide import gossip
from petrelhall.decide import interface as api
from petrelhall.decide.correlation import significant
from petrelhall.decide.dawn import InitialFill, add_missing_fill
from petrelhall.decide.interface import Effect, Ending
from petrelhall.decide.ledger import COUNTER_NAME_TTL_MS, evaluate_total
from petrelhall.decide.retries import retry_cost
from petrelhall.decide.slowstart import cold_start_share, initial_cold_allowance
from petrelhall.decide.state import (
    IDLE_CUSTOMER_TTL_MS,
    Customer,
    GatewayState,
    InFlightRequest,
    ServerState,
    decay,
    replay,
    spend,
)
from petrelhall.decide.waiting import RECHECK_INTERVAL_MS, WaitingRequests

# Names that end in _MS are in ms, counts and shares (fractions of 1) have no unit. Names with LATENCY are normalized
# latencies: multiples of the target latency (aim_ms) of the request's class. EWMA weights are those of one sample in an
# exponentially weighted moving average. An attempt is open until its outcome is known.

# Overload detection and throttling

# Period of the overload test; the paper's. Also the delay before the server list is followed again after a failure.
INTERVAL_MS = 1000.0
# An interval timer later than this shows that this gateway itself has stalled: latencies measured then blame no server.
STALL_MS = 200.0
# Most recent intervals of a customer that are correlated with load pressure.
CORRELATION_WINDOW = 30
# Fewest intervals of a customer that are tested for correlation.
MIN_INTERVALS = 8
# Least number of outcomes that the share of failed ones is taken of.
MIN_OUTCOMES = 5.0
# Two-sided test at alpha = 0.05; Student's quantile at the degrees of freedom is derived from it.
NORMAL_QUANTILE = 1.96
# Customers that are tested: those with the highest demand.
MAX_TRACKED_CUSTOMERS = 32
# Tests in a row that must flag a customer: one flag in 20 is chance.
MIN_CONSECUTIVE_FLAGS = 2
# Rate of a throttled customer as a share of its demand; the paper's.
THROTTLE_RATIO = 1.0 / 3.5
# A customer that uses less than this share of its quota is not throttled.
THROTTLE_MIN_USE = 0.9
# Mean normalized latency, and share of outcomes that were full or timed out, above which overload begins.
OVERLOAD_START = (1.0, 0.10)
# The same two, below which overload ends.
OVERLOAD_END = (0.7, 0.05)

# Quota

# Time constant of the decay of rates: short enough to follow traffic that shifts between gateways.
RATE_DECAY_MS = 3000.0
# Age up to which reports of others' use (from peers, meter or counter) count.
USAGE_REPORT_TTL_MS = 3000.0
# Age of metered use when it arrives: the meter's period and the transmission.
METER_LAG_MS = 1500.0
# Age of the use that peers report when it arrives: the period of the messages and the transmission.
PEER_LAG_MS = 150.0
# Least time between two periodic messages to peers.
MIN_GOSSIP_INTERVAL_MS = 50.0
# Share of the messages that a peer accepts per second that periodic messages may take.
GOSSIP_BUDGET_SHARE = 0.6
# Factor by which a customer's admitted share must change before it is reported to peers again.
SHARE_REPORT_RATIO = 1.3
# If messages to all peers must be further apart than this, they are too late for reports of open attempts; these
# then go to the gateways of the customer only, and the fleet of gateways counts as large.
BROADCAST_MAX_DELAY_MS = 100.0
# In a large fleet: share of the messages that a peer accepts that go to all peers.
BROADCAST_BUDGET_SHARE = 0.15
# In a large fleet: share of the messages that a peer accepts that go to single gateways, those of one customer.
TARGETED_BUDGET_SHARE = 0.75
# Most admitted shares reported by peers that are kept, so that memory stays bounded.
MAX_SHARES = 10000
# Least share of requests that call the counter.
COUNTER_SAMPLING_MIN = 0.1
# Factor on that share each time the counter fails to answer.
COUNTER_SAMPLING_CUT = 0.7
# Increase of that share per second while answers come.
COUNTER_SAMPLING_GROWTH = 0.04
# The same, per second, where no call has lately gone without an answer.
COUNTER_SAMPLING_FAST_GROWTH = 0.2
# Share of a customer's demand covered by its quota from which its requests pass as within quota.
LIKELY_WITHIN_QUOTA = 0.9
# Least share of a customer's demand that is admitted under a meter.
ADMITTED_SHARE_MIN = 0.05
# Largest step of that share, as a share of it.
ADMITTED_SHARE_MAX_STEP = 0.5
# Time in which that share adjusts to the metered use.
ADMITTED_SHARE_ADJUST_MS = 4000.0
# Least delay that a refusal advises before the next try.
MIN_RETRY_AFTER_MS = 50.0
# Age of a peer's report of open attempts when it arrives.
ATTEMPT_REPORT_LAG_MS = 30.0
# Probability that a customer's limit on concurrent attempts is already reached, above which no attempt is started.
MAX_ATTEMPT_LIMIT_RISK = 0.2
# The same in a large fleet.
MAX_ATTEMPT_LIMIT_RISK_LARGE_FLEET = 0.1
# Time for which open attempts reported by a peer count.
ATTEMPT_REPORT_TTL_MS = 300.0
# Share of the messages that a peer accepts that reports of open attempts may take at most.
ATTEMPT_REPORT_BUDGET_SHARE = 0.9

# Servers

# Weight of an answer in the averages of its server.
SERVER_EWMA_WEIGHT = 0.15
# Weight of an answer in the averages of the whole fleet.
FLEET_EWMA_WEIGHT = 0.03
# Weight of an answer in the failure rate of its class.
FAILURE_EWMA_WEIGHT = 0.05
# Half-life of a server's measured slowness.
SLOWNESS_HALF_LIFE_MS = 8000.0
# Half-life of a server's load report.
LOAD_REPORT_HALF_LIFE_MS = 500.0
# Half-life of a server's recorded health (probability of success) for a class.
HEALTH_HALF_LIFE_MS = 20000.0
# Largest random addition to a server's cost, as a share: it keeps gateways from choosing the same server together.
COST_JITTER = 0.15
# Addition to a server's cost for another zone, as a share per unit of cross_zone_price.
CROSS_ZONE_COST = 5.0
# Addition for a server that most likely needs a new connection, as a share per unit of handshake_price.
HANDSHAKE_COST = 10.0
# Length of a server's first ejection; each one after it is twice as long.
EJECTION_MIN_MS = 500.0
# Length of the longest ejection.
EJECTION_MAX_MS = 4000.0
# Resets in a row that eject a server: a single one is the end of a connection, and the next connect tells more.
EJECTION_RESETS = 3
# Initial limit on concurrent attempts at one server, from all gateways together.
LIMIT_START = 12.0
# Least limit on concurrent attempts at one server from this gateway.
LIMIT_MIN = 1.0
# Largest limit on concurrent attempts at one server from this gateway.
LIMIT_MAX = 64.0
# Smoothed normalized latency of a server below which its limit grows.
LIMIT_GROWTH_LATENCY = 0.20
# Smoothed normalized latency of a server above which its limit is cut.
LIMIT_CUT_LATENCY = 0.30
# Time without an outcome from a server with open attempts after which it gets no new ones, as a multiple of the target
# latency.
SILENCE_LATENCY = 0.45
# Servers that are compared for one attempt.
SERVER_SAMPLE_SIZE = 16
# Least probability of success that is assumed of a server that failed.
MIN_HEALTH = 0.1
# Probability of success from which a server counts as good when the usual rate to a warm server is measured.
GOOD_HEALTH = 0.5
# Number of latest answers whose median normalized latency shows whether the fleet is slow.
LATENCY_SAMPLES = 9
# Median normalized latency above which demand is shed.
SHED_LATENCY = 0.4
# Least rate of admitted requests per second.
ADMISSION_RATE_MIN = 0.5
# Largest admission rate as a multiple of the smoothed number of admitted requests per interval.
ADMISSION_RATE_SLACK = 2.0
# Largest cut of the admission rate per interval, as a share.
ADMISSION_RATE_CUT = 0.3
# Growth of the admission rate per interval, as a share.
ADMISSION_RATE_GROWTH = 0.02
# Additional growth per interval, as a share, times how far the median latency is below SHED_LATENCY (as a share of it).
ADMISSION_RATE_FAST_GROWTH = 0.5
# Share of the servers' limits that attempts of uploads may use: a client that stalls holds its place for seconds.
UPLOAD_SHARE = 0.5
# By Little's law, admission rate times this latency is the number of open attempts from which requests are refused.
CONCURRENCY_LATENCY = 0.2
# Weight of an interval in the smoothed number of admitted requests.
ADMITTED_EWMA_WEIGHT = 0.3
# Outcomes per interval from which the admission rate is cut in full.
FULL_CUT_OUTCOMES = 4.0
# Tokens of the admission rate that must be there for a request not known to be within its quota, in place of 1.
UNCONFIRMED_RESERVE = 1.5
# Factor on a server's limit when it is cut.
LIMIT_CUT_FACTOR = 0.85
# Least time between two cuts of a server's limit.
LIMIT_CUT_INTERVAL_MS = 200.0

# Attempts

# Normalized latency per unit that is assumed before any was measured.
INITIAL_LATENCY = 0.2
# Least time that an answer is assumed to take.
MIN_ANSWER_MS = 20.0
# Retry budget, in retries, that each request earns with its first attempt.
RETRY_BUDGET_PER_REQUEST = 0.15
# Largest retry budget that is saved, in retries.
RETRY_BUDGET_MAX = 15.0
# Multiple of the expected latency after which a first attempt counts as overdue.
OVERDUE_LATENCIES = 3.0
# Least time until then, as a share of the target latency.
OVERDUE_MIN = 0.2
# Largest time until then, as a share of the target latency.
OVERDUE_MAX = 0.5
# Share of the target latency in which an answer must come if a late one is worth nothing.
AIM_MARGIN = 0.98
# Share of a class's window in which a keyed request may be repeated.
WINDOW_MARGIN = 0.9
# Timer tokens: 0 interval, 1 and 3 messages to peers, 2 server list, 4 waiting requests; from here one per request.
FIRST_REQUEST_TOKEN = 5


class Gateway(GatewayState):
    """The decision module of one gateway: give it every event in order, and carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(retry_budget=RETRY_BUDGET_MAX / 2)
        self.settings, self.random, self.waiting_requests = settings, random.Random(seed), WaitingRequests()
        self.initial_limit = max(LIMIT_MIN, LIMIT_START / settings.gateways)
        messages_per_s = max(1.0, settings.peer_messages_per_s)
        interval_ms = 1000.0 * settings.gateways / (GOSSIP_BUDGET_SHARE * messages_per_s)
        self.uses_peers = settings.peers and (interval_ms < USAGE_REPORT_TTL_MS / 3 or not settings.counter)
        self.attempt_report_interval_ms = (
            1000.0 * max(1, settings.gateways - 1) / (ATTEMPT_REPORT_BUDGET_SHARE * messages_per_s)
        )
        # What cannot wait for a message to all peers then goes to the gateways of the customer.
        self.is_large_fleet = self.uses_peers and self.attempt_report_interval_ms > BROADCAST_MAX_DELAY_MS
        self.gossip_interval_ms = max(
            MIN_GOSSIP_INTERVAL_MS,
            interval_ms * GOSSIP_BUDGET_SHARE / BROADCAST_BUDGET_SHARE if self.is_large_fleet else interval_ms,
        )
        self.attempt_report_ttl_ms = max(ATTEMPT_REPORT_TTL_MS, 2.0 * self.gossip_interval_ms * self.is_large_fleet)
        self.initial_fill = InitialFill((settings.gateways - 1) * (self.uses_peers and not self.is_large_fleet))
        self.uses_counter = settings.counter and not self.uses_peers
        self.uses_meter = settings.meter_ms > 0 and not self.uses_counter and not self.uses_peers
        # Expected latency per unit, in ms, by class.
        self.latency_per_unit_ms = {
            request_class: INITIAL_LATENCY * request_class.aim_ms for request_class in settings.classes
        }
        # Share of attempts that fail, by class.
        self.failure_rates = [0.0 for request_class in settings.classes]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the given time.

        Each type of event has its method (``on_arrival`` ...); a type without one ends its request.
        """
        self.now, self.actions = now, []
        # A late interval timer says something about this gateway only, not about the servers.
        self.stall_at = now if now > self.interval_due + STALL_MS else self.stall_at
        getattr(self, "on_" + type(event).__name__.lower(), self.end_request)(event)
        return self.actions

    # Quota

    def refill(self, customer: Customer) -> None:
        """Bring a customer's token buckets and rates up to now."""
        plan, even_share, elapsed_s = customer.plan, customer.even_share, (self.now - customer.refilled_at) / 1000.0
        customer.refilled_at, total_rate = self.now, max(1e-9, customer.sent_rate + customer.others_rate)
        own_share = max(even_share, customer.sent_rate / total_rate)
        if self.fills_by_time(customer):
            earned = own_share * elapsed_s * plan.rate * min(1.0, plan.rate / total_rate)
            customer.bucket = min(max(self.settings.largest_units, plan.burst * own_share), customer.bucket + earned)
        unused_rate = plan.rate - customer.others_rate * self.uses_meter
        ceiling_share = even_share * self.ceiling_part
        ceiling_rate = plan.ceiling_rate * ceiling_share * self.fills_ceilings
        customer.add_tokens(elapsed_s, max(0.0, unused_rate), ceiling_rate, plan.ceiling_burst * ceiling_share)
        stale = not self.uses_meter or self.now - customer.others_reported_at > USAGE_REPORT_TTL_MS
        customer.decay_rates(math.exp(-elapsed_s * 1000.0 / RATE_DECAY_MS), stale)

    def fills_by_time(self, customer: Customer) -> bool:
        """Tell whether the bucket fills with time: only if this gateway's part of it can hold a whole request."""
        holds_request = customer.plan.burst * customer.even_share >= self.settings.largest_units
        return self.uses_meter or (self.uses_counter and holds_request)

    def within_quota(self, customer: Customer, units: float, granted: bool | None) -> bool:
        """Tell whether the quota covers some units; ``granted`` is the counter's decision, if there is one.

        Beyond its own bucket a gateway may borrow what the others are known to leave unused.
        """
        plan, within = customer.plan, min(customer.bucket, customer.shared_bucket) >= units
        if plan.rate <= 0 or granted is not None:
            return granted is not False
        reported_at = max(customer.others_reported_at, self.peer_message_at, self.started * self.is_large_fleet)
        if self.uses_counter or self.now - reported_at > USAGE_REPORT_TTL_MS:
            return within
        lag_s = (METER_LAG_MS if self.uses_meter else PEER_LAG_MS) / 1000.0
        may_borrow = customer.shared_bucket >= units + customer.others_rate * lag_s
        return may_borrow or within or (self.uses_meter and customer.bucket >= units)

    def is_attempt_limit_likely_reached(self, customer: Customer) -> bool:
        """Tell whether a customer likely has all concurrent attempts that its plan allows, over all gateways.

        A peer reports its open attempts again and again, so that soon after its last report they count as ended.
        Until messages from peers have been received for a while, the even share of the limit holds.
        """
        places_left = customer.plan.max_open - customer.open_attempts
        reports_missing = self.now - max(self.started, self.peer_message_at) > USAGE_REPORT_TTL_MS
        reports_missing = reports_missing or (
            self.now - self.started < RATE_DECAY_MS and not self.initial_fill.confirmed
        )
        if places_left <= 0 or not self.uses_peers or reports_missing:
            return (
                max(1, int(customer.plan.max_open * customer.even_share)) <= customer.open_attempts or places_left <= 0
            )
        places_left -= int(
            sum(
                count
                for count, reported_at in customer.peer_open_attempts.values()
                if reported_at > self.now - self.attempt_report_ttl_ms
            )
        )
        # Attempts that the others have started since their reports: their number has a Poisson distribution.
        mean_started = customer.others_rate * ATTEMPT_REPORT_LAG_MS / 1000.0
        chance_of_place = math.exp(-mean_started) * sum(mean_started**n / math.factorial(n) for n in range(places_left))
        return 1.0 - chance_of_place > (
            MAX_ATTEMPT_LIMIT_RISK_LARGE_FLEET if self.is_large_fleet else MAX_ATTEMPT_LIMIT_RISK
        )

    def report_attempts(self, customer: Customer) -> None:
        """Report to peers how many attempts of a customer are open, at once if the last message is old enough.

        An attempt is over within the time of a few messages, so that the next periodic message would be too late.
        """
        if not self.uses_peers or customer.plan.max_open <= 0:
            return
        self.unsent_open_attempts[customer.code] = self.open_attempt_counts[customer.code] = customer.open_attempts
        if not customer.open_attempts:
            del self.open_attempt_counts[customer.code]
        if self.is_large_fleet:
            return self.send_to_customer_gateways(customer)
        delay_ms = self.broadcast_at + self.attempt_report_interval_ms - self.now
        if delay_ms <= 0.0:
            self.broadcast()
        elif not self.broadcast_due:
            self.broadcast_due = True
            self.actions.append(api.SetTimer(delay_ms, 3))

    def send_to_customer_gateways(self, customer: Customer) -> None:
        """Report a customer's use to the gateways that it uses.

        Each receives as many of these messages as it sends, so that a limit on the sent ones bounds both.
        """
        recipients = customer.other_gateways(self.settings.position, self.settings.gateways)
        if not self.take_message_tokens(len(recipients), TARGETED_BUDGET_SHARE * self.settings.peer_messages_per_s):
            return  # it goes with the next message to all peers
        code, units = customer.code, self.unsent_units.pop(customer.code, 0.0)
        attempts = [(code, self.unsent_open_attempts.pop(code))] if code in self.unsent_open_attempts else []
        self.actions.append(api.Tell(gossip.encode([(code, units)], attempts, self.sent_sums), recipients))

    def broadcast(self) -> None:
        """Send to all peers what has not been reported to them yet, as far as one message holds it."""
        content, self.unsent_units, self.unsent_open_attempts = gossip.pack(
            self.unsent_units, self.unsent_open_attempts, self.sent_sums
        )
        self.actions.append(api.Tell(content))
        self.broadcast_at = self.now

    def record_others_usage(self, customer: Customer, units: float) -> None:
        """Deduct units that other gateways have sent to servers from the shared bucket.

        Tokens that the bucket lost because it was full are used for this first.
        """
        self.refill(customer)
        customer.shared_bucket = spend(customer.shared_bucket, max(0.0, units - customer.overflow), self.is_large_fleet)
        customer.overflow, customer.others_reported_at = 0.0, self.now
        customer.others_rate += units * 1000.0 / RATE_DECAY_MS

    def record_metered_usage(self, customer: Customer, used: float) -> None:
        """Learn the others' use from the meter, and adjust the share of demand that is admitted.

        ``used`` is the metered use as a share of the rate. All gateways see the same and reach the same share.
        """
        self.refill(customer)
        step = (
            min(ADMITTED_SHARE_MAX_STEP, (self.now - customer.others_reported_at) / ADMITTED_SHARE_ADJUST_MS)
            * (1.0 - used)
            / max(1.0, used)
        )
        customer.admit_share = max(ADMITTED_SHARE_MIN, min(1.0, customer.admit_share * (1.0 + step)))
        customer.use_known, customer.others_reported_at = True, self.now
        others_rate = max(0.0, used * customer.plan.rate - customer.sent_rate)
        customer.others_rate += 0.5 * (others_rate - customer.others_rate) * self.uses_meter

    def query_counter(self, request: InFlightRequest) -> bool:
        """Call the counter for a request and return True, if the request should wait for the answer.

        A counter under load gets calls for a sample of the requests only; each call then stands for several requests.
        """
        customer, near_deadline = request.customer, request.deadline - self.now < 2.0 * self.settings.counter_wait_ms
        wanted = self.uses_counter or (self.is_large_fleet and self.settings.counter and not customer.plan.max_open)
        # The level is the most that the bucket can hold: the others have only taken from it since.
        if wanted and self.is_large_fleet and customer.max_level(self.now) < request.units:
            request.granted, wanted = False, False
        if not wanted or near_deadline or customer.plan.rate <= 0 or self.counter_sampling_share < self.random.random():
            return False
        # Units that would have to be returned are unavailable to all gateways until then.
        if self.is_large_fleet and self.refusal_cause(request):
            return False
        name = customer.code << 8 | int(self.now / COUNTER_NAME_TTL_MS) & 255
        request.counted_units = request.units / self.counter_sampling_share
        amount, customer.counter_correction = request.counted_units + customer.counter_correction, 0.0
        self.add_to_counter(name, amount, request, None)
        return True

    def add_to_counter(self, name: int, amount: float, request: InFlightRequest, seen_total: float | None) -> None:
        """Add to a name on the counter, for a request or, with ``seen_total``, to correct the total that was seen."""
        self.add_call(name, (amount, request, self.now, seen_total))
        self.actions.append(api.CounterAdd(name, amount, COUNTER_NAME_TTL_MS))

    def on_counterreply(self, event: api.CounterReply) -> None:
        """Decide on the request that waited for this answer, and learn the others' use from the total.

        What the total has grown by beyond this gateway's own call is the others' use.
        """
        call = self.take_call(event.name)
        if call is None:
            return
        amount, request, called_at, seen_total = call
        if seen_total is not None:
            # The answer to a correction: if another gateway has made the same one, this gateway takes its own back.
            duplicate = min(amount, event.total - seen_total - amount)
            if event.ending is Ending.OK and duplicate > 0.5 * amount > 0.0:
                self.add_to_counter(event.name, -duplicate, request, math.inf)
            return
        customer = request.customer
        if event.ending is Ending.OK:
            previous_total = customer.counter_total if customer.counter_total_name == event.name else event.total
            customer.counter_total, customer.counter_total_name, customer.use_known = event.total, event.name, True
            if self.uses_counter:  # in a large fleet peers report this use: it must not count twice
                self.record_others_usage(customer, max(0.0, event.total - previous_total - amount))
            request.granted, correction = evaluate_total(
                customer, called_at, amount, request.counted_units, request.units, event.total
            )
            if correction and (self.is_large_fleet or self.counter_sampling_share >= 1.0) and not request.ended:
                self.add_to_counter(event.name, correction, request, event.total)
            else:
                customer.counter_correction += min(0.0, correction)
            reported, percent = self.admit_shares.get(customer.code, 100.0), max(1.0, 100.0 * customer.admit_share)
            if (
                self.uses_counter
                and self.settings.peers
                and max(reported, percent) > SHARE_REPORT_RATIO * min(reported, percent)
            ):
                self.unsent_units[customer.code] = percent
                self.set_admit_share(customer.code, percent, MAX_SHARES)
            growth_per_s = (
                COUNTER_SAMPLING_FAST_GROWTH
                if self.now - self.counter_failure_at > USAGE_REPORT_TTL_MS
                else COUNTER_SAMPLING_GROWTH
            )
            self.counter_sampling_share += min(
                1.0 - self.counter_sampling_share, growth_per_s * min(1.0, (self.now - self.counter_reply_at) / 1000.0)
            )
            self.counter_reply_at = self.now
        # One overload of the counter is one cut, however many calls it delayed.
        elif called_at > self.counter_failure_at:
            self.counter_sampling_share, self.counter_failure_at = (
                max(COUNTER_SAMPLING_MIN, self.counter_sampling_share * COUNTER_SAMPLING_CUT),
                self.now,
            )
        if request.ended:  # the client has left meanwhile
            self.refund(request)
        else:
            self.admit(request)

    def on_peermessage(self, event: api.PeerMessage) -> None:
        """Record a peer's use, or, where the use is measured by the counter, the admitted share that it reports."""
        self.peer_message_at = self.now
        usages, attempts = gossip.decode(event.content, event.sender, self.received_sums)
        for code, value in usages:
            if code == gossip.AGE_CODE:
                if self.initial_fill.receive(event.sender, value, self.now - self.started):
                    self.fill_token_buckets()
            elif code in self.by_code and self.uses_peers:
                self.record_others_usage(self.by_code[code], value)
            elif not self.uses_peers:
                self.set_admit_share(code, value, MAX_SHARES)
            else:
                self.unknown_use.setdefault(code, []).append((self.now, value))
        for code, count in attempts:
            if code in self.by_code:
                self.by_code[code].peer_open_attempts[event.sender] = count, self.now
                self.admit_waiting(self.by_code[code])

    def fill_token_buckets(self) -> None:
        """Fill every bucket, since all gateways started together.

        Until this was known, each bucket lacked what the others might have used of it before.
        """
        for customer in self.customers.values():
            self.refill(customer)
            add_missing_fill(customer)

    # Overload detection and throttling

    def close_interval(self) -> None:
        """End an interval: detect overload, test each tracked customer, and start or lift its throttle.

        A customer's units per interval are correlated with the load pressure of the same intervals.
        """
        self.actions.append(api.SetTimer(INTERVAL_MS, 0))
        self.interval_due = self.now + INTERVAL_MS
        mean_latency, overload_share = (
            self.normalized_latency_sum / max(1.0, self.served_attempts),
            self.overload_outcomes / max(MIN_OUTCOMES, self.ended_attempts),
        )
        was_overloaded, (max_latency, max_overload_share) = (
            self.overloaded,
            OVERLOAD_END if self.overloaded else OVERLOAD_START,
        )
        self.overloaded = mean_latency > max_latency or overload_share > max_overload_share
        latency_excess = statistics.median(self.normalized_latencies or [0.0]) / SHED_LATENCY - 1.0
        self.all_slow = latency_excess > 0.0
        self.update_admission_rate(latency_excess)
        for customer in self.tracked_customers.values():
            self.refill(customer)
            customer.samples = [
                *customer.samples[1 - CORRELATION_WINDOW :],
                (customer.interval_units, mean_latency + overload_share),
            ]
            flagged = len(customer.samples) >= MIN_INTERVALS and significant(customer.samples, NORMAL_QUANTILE)
            customer.consecutive_flags = customer.consecutive_flags + 1 if flagged else 0
            near_quota = customer.demand + customer.others_rate > THROTTLE_MIN_USE * customer.plan.rate
            if not self.overloaded or customer.consecutive_flags < MIN_CONSECUTIVE_FLAGS:
                customer.throttle_rate = 0.0
            elif not customer.throttle_rate and near_quota:
                customer.throttle_rate = customer.demand * THROTTLE_RATIO
        if was_overloaded != self.overloaded:
            self.actions.append(
                api.Note(
                    f"overloaded: {self.overloaded}; mean latency {mean_latency:.2f} times the target, "
                    f"{overload_share:.2f} of outcomes full or timed out"
                )
            )
        active = self.tracked_customers | self.active_customers
        self.tracked_customers = {
            c.code: c for c in heapq.nlargest(MAX_TRACKED_CUSTOMERS, active.values(), key=lambda c: c.demand)
        }
        for code, customer in active.items():
            customer.interval_units = 0.0
            if code not in self.tracked_customers:
                customer.stop_tracking()
        warm_servers = sum(
            server_state.cold_since is None and self.now >= server_state.ejected_until
            for server_state in self.healthy_servers
        )
        self.warm_rate += 0.2 * (self.warm_sends / max(1, warm_servers) - self.warm_rate) * (warm_servers > 0)
        self.normalized_latency_sum = self.served_attempts = self.overload_outcomes = self.ended_attempts = (
            self.warm_sends
        ) = 0.0
        self.active_customers = {}
        self.drop_idle(self.now - IDLE_CUSTOMER_TTL_MS)

    def update_admission_rate(self, latency_excess: float) -> None:
        """Adapt this gateway's own rate of admitted requests, for all servers together.

        The rate bounds the load when clients' tries multiply, since servers do not. It also holds against floods,
        traffic that fails over and replayed backlogs. Its cost: it refuses requests where true demand doubles.
        ``latency_excess`` is how far the median latency is above (or, if negative, below) the point of shedding.
        """
        self.avg_admitted += (ADMITTED_EWMA_WEIGHT if self.avg_admitted else 1.0) * (self.admitted - self.avg_admitted)
        if self.all_slow and self.ended_attempts:
            # With few outcomes in the interval, the latencies are old and the cut is smaller.
            cut = ADMISSION_RATE_CUT * min(1.0, latency_excess) * min(1.0, self.ended_attempts / FULL_CUT_OUTCOMES)
            self.admission_rate = min(self.admission_rate, 1.0 + self.avg_admitted) * (1.0 - cut)
        elif not self.all_slow:
            self.admission_rate *= 1.0 + ADMISSION_RATE_GROWTH - ADMISSION_RATE_FAST_GROWTH * min(0.0, latency_excess)
        max_rate = max(self.initial_admission_rate, ADMISSION_RATE_SLACK * (1.0 + self.avg_admitted))
        self.admission_rate = max(ADMISSION_RATE_MIN, min(max_rate, self.admission_rate))
        # The oldest third of the latencies is dropped, so that they do not count for ever.
        self.admitted, self.normalized_latencies = 0.0, self.normalized_latencies[len(self.normalized_latencies) // 3 :]

    # Servers and health

    def on_serverlist(self, event: api.ServerList) -> None:
        """Follow discovery: a server that drains or is gone gets no new attempts from now on."""
        if event.kind == "failed" and self.settings.subscribe:
            self.actions.append(api.SetTimer(INTERVAL_MS, 2))
        elif event.kind in ("full", "cached"):
            listed = {server.address for server in event.servers}
            self.servers = {
                address: server_state for address, server_state in self.servers.items() if address in listed
            }
        for server in event.servers:
            server_state = self.servers.get(server.address)
            if server_state is None or server.since_ms > server_state.server.since_ms:
                server_state = ServerState(
                    server, self.initial_limit, initial_cold_allowance(server.address, self.settings), self.now
                )
                self.servers[server.address] = server_state
            server_state.server = server
            if server.since_ms and self.now - server.since_ms < self.settings.cold_ms:
                server_state.cold_since = max(server_state.cold_since or 0.0, server.since_ms)
            if server.phase == "deregistered":
                del self.servers[server.address]
        self.healthy_servers = [
            server_state for server_state in self.servers.values() if server_state.server.phase == "healthy"
        ]
        self.initial_admission_rate = max(
            ADMISSION_RATE_MIN, LIMIT_START * len(self.healthy_servers) / self.settings.gateways
        )
        if not self.avg_admitted:  # nothing is known yet: as many requests per second as may run at first
            self.admission_rate = self.initial_admission_rate

    def pick_server(self, request: InFlightRequest) -> ServerState | None:
        """Pick a server from the first of the request's pools that has one with capacity."""
        if not request.arrival.pools:
            return self.cheapest_server(request, self.healthy_servers)
        pools = (
            [server_state for server_state in self.healthy_servers if server_state.server.pool == pool]
            for pool in request.arrival.pools
        )
        return next(filter(None, (self.cheapest_server(request, candidates) for candidates in pools)), None)

    def cheapest_server(self, request: InFlightRequest, candidates: list[ServerState]) -> ServerState | None:
        """Pick the server with the least expected wait among a sample of those with capacity.

        The expected wait follows from a server's load, its measured slowness and its health for the request's class.
        """
        cheapest, lowest_cost = None, math.inf
        for candidate in self.random.sample(candidates, min(SERVER_SAMPLE_SIZE, len(candidates))):
            share = cold_start_share(candidate, self.now, self.settings, self.warm_rate)
            # Only if its last attempt is recent: a single stuck attempt must not exclude a server for ever.
            silent = (
                candidate.open_attempts > 0
                and candidate.answer_at
                < self.now - SILENCE_LATENCY * request.request_class.aim_ms
                < candidate.last_sent_at
            )
            already_tried = any(attempt.target is candidate for attempt in request.attempts)
            unavailable = (
                candidate.open_attempts >= max(1.0, candidate.limit * share) or self.now < candidate.ejected_until
            )
            if not share or silent or already_tried or unavailable or not self.may_send_to(request, candidate):
                continue
            slowness = decay(candidate.slowness, 1.0, (self.now - candidate.measured_at) / SLOWNESS_HALF_LIFE_MS)
            # An old load report tells less than the average over all servers; a cold server is assumed idle.
            usual_others = self.mean_load * (candidate.cold_since is None)
            others = decay(
                candidate.other_load, usual_others, (self.now - candidate.reported_at) / LOAD_REPORT_HALF_LIFE_MS
            )
            cost = (candidate.open_attempts + others + 1.0) * slowness / max(0.01, candidate.server.weight)
            # The probability that the server answers this class, and when it was last updated.
            health, updated_at = candidate.health.get(request.class_index, (1.0, -math.inf))
            cost /= (
                max(
                    MIN_HEALTH,
                    decay(
                        health,
                        1.0 - self.failure_rates[request.class_index],
                        (self.now - updated_at) / HEALTH_HALF_LIFE_MS,
                    ),
                )
                ** 2
            )
            zone_cost = CROSS_ZONE_COST * self.settings.cross_zone_price * (candidate.server.zone != self.settings.zone)
            # A server that got no attempt from here yet has most likely no open connection.
            handshake_cost = HANDSHAKE_COST * self.settings.handshake_price * (not candidate.last_sent_at)
            cost *= 1.0 + zone_cost + handshake_cost + COST_JITTER * self.random.random()
            if cost < lowest_cost:
                cheapest, lowest_cost = candidate, cost
        return cheapest

    def record_health(self, server_state: ServerState, request: InFlightRequest, good: bool) -> None:
        """Record whether a server answered a class, and how often the class fails everywhere.

        While the whole fleet is slow, failures are not recorded: that is overload, and sending everything to the few
        servers that were quick would make it worse.
        """
        if good or not self.all_slow:
            server_state.health[request.class_index] = (
                0.5 * (server_state.health.get(request.class_index, (1.0, 0.0))[0] + good),
                self.now,
            )
            self.failure_rates[request.class_index] += FAILURE_EWMA_WEIGHT * (
                (not good) - self.failure_rates[request.class_index]
            )

    def learn_from_outcome(self, server_state: ServerState, event: api.Outcome, request: InFlightRequest) -> None:
        """Learn from how an attempt ended: latency, the server's concurrency limit, outlier ejection."""
        ending, normalized_latency = event.ending, event.latency_ms / request.request_class.aim_ms
        self.ended_attempts += ending not in (Ending.MOOT, Ending.CANCELLED)
        self.overload_outcomes += ending in (Ending.FULL, Ending.TIMEOUT)
        relative_latency = event.latency_ms / max(1e-3, self.expected_ms(request))
        # A time-out that was shorter than the expected latency says nothing about the server.
        informative = ending is Ending.OK or (ending is Ending.TIMEOUT and relative_latency > 1.0)
        if informative and self.stall_at < self.now:
            self.latency_per_unit_ms[request.request_class] *= 1.0 + FLEET_EWMA_WEIGHT * (relative_latency - 1.0)
            server_state.slowness += SERVER_EWMA_WEIGHT * (min(relative_latency, 10.0) - server_state.slowness)
            server_state.normalized_latency += SERVER_EWMA_WEIGHT * (
                normalized_latency - server_state.normalized_latency
            )
            if not request.overdue and server_state.cold_since is None:  # slow start is no overload
                self.normalized_latencies = [*self.normalized_latencies[1 - LATENCY_SAMPLES :], normalized_latency]
            server_state.measured_at, served = self.now, ending is Ending.OK
            self.served_attempts, self.normalized_latency_sum = (
                self.served_attempts + served,
                self.normalized_latency_sum + normalized_latency * served,
            )
            # A limit grows only while it is in use: otherwise the latency says nothing about it.
            if (
                server_state.normalized_latency < LIMIT_GROWTH_LATENCY
                and server_state.open_attempts + 1.0 > 0.5 * server_state.limit
            ):
                server_state.limit = min(LIMIT_MAX, server_state.limit + 1.0 / server_state.limit)
        if (
            server_state.normalized_latency > LIMIT_CUT_LATENCY or ending is Ending.FULL
        ) and self.now - server_state.limit_cut_at > LIMIT_CUT_INTERVAL_MS:
            server_state.limit, server_state.limit_cut_at = (
                max(LIMIT_MIN, server_state.limit * LIMIT_CUT_FACTOR),
                self.now,
            )
        if ending in (Ending.OK, Ending.FULL):
            if server_state.down_at:  # back after a failure: cold, though the list may not say so yet
                server_state.cold_since = max(server_state.cold_since or 0.0, server_state.down_at)
            server_state.ejections, server_state.down_at = 0, 0.0
        server_state.resets = server_state.resets + 1 if ending is Ending.RESET else 0
        # Servers that fail in other ways are not ejected: their recorded health makes them costly.
        if ending is Ending.CONNECT_FAILED or server_state.resets >= EJECTION_RESETS:
            if ending is Ending.CONNECT_FAILED:  # proves that the server is down: it will be cold when it is back
                server_state.down_at = self.now
            if self.now >= server_state.ejected_until:
                ejection_ms = min(EJECTION_MAX_MS, EJECTION_MIN_MS * 2.0**server_state.ejections)
                server_state.ejected_until, server_state.ejections = self.now + ejection_ms, server_state.ejections + 1
                self.actions.append(
                    api.Note(
                        f"server {server_state.server.address} ejected, ejections in a row: {server_state.ejections}"
                    )
                )
        if informative or ending in (Ending.ERROR, Ending.RESET):
            self.record_health(server_state, request, ending is Ending.OK)
        if "rif" in event.report:
            server_state.other_load, server_state.reported_at = (
                max(0.0, event.report["rif"] - server_state.open_attempts),
                self.now,
            )
            self.mean_load += FLEET_EWMA_WEIGHT * (server_state.other_load - self.mean_load)

    # Attempts

    def start_attempt(self, request: InFlightRequest, server_state: ServerState) -> None:
        """Start an attempt that ends when its answer is worth nothing more; time the first one for being overdue."""
        request.start_attempt(server_state, self.now)
        good = server_state.health.get(request.class_index, (1.0, 0.0))[0] >= GOOD_HEALTH
        # What a failing server is sent is no measure of what a warm one serves.
        self.open_attempts, self.warm_sends = (
            self.open_attempts + 1.0,
            self.warm_sends + (server_state.cold_since is None and good),
        )
        self.open_uploads += request.arrival.is_upload
        self.actions.append(request.send_action(self.now, WINDOW_MARGIN))
        # How long an upload takes says nothing about its server.
        if len(request.attempts) == 1 and not request.arrival.is_upload:
            overdue_ms = max(OVERDUE_MIN * request.request_class.aim_ms, OVERDUE_LATENCIES * self.expected_ms(request))
            self.actions.append(
                api.SetTimer(
                    min(OVERDUE_MAX * request.request_class.aim_ms, overdue_ms), request.id + FIRST_REQUEST_TOKEN
                )
            )

    def is_too_late(self, request: InFlightRequest) -> bool:
        """Tell whether too little time is left for an answer that is worth something, or for an attempt to finish."""
        return self.now + max(MIN_ANSWER_MS, 0.5 * self.expected_ms(request)) > request.useful_until

    def expected_ms(self, request: InFlightRequest) -> float:
        """Return the expected latency of a request, in ms, on an ordinary server."""
        return self.latency_per_unit_ms[request.request_class] * max(0.1, request.units)

    def retry(self, request: InFlightRequest, cost: float) -> bool:
        """Start another attempt, if the rules, the retry budget and the time left allow it."""
        if len(request.attempts) >= self.settings.max_attempts or self.is_too_late(request):
            return False
        server_state = self.pick_server(request) if self.retry_budget >= cost else None
        if server_state is not None:
            self.retry_budget -= cost
            self.start_attempt(request, server_state)
        return server_state is not None

    # Guards of the rules

    def may_send_to(self, request: InFlightRequest, candidate: ServerState) -> bool:
        """Tell whether the effects of a request allow an attempt at a server.

        A request that may have run is sent again only if it is repeatable, or if it is keyed and the server is in
        the same group as the first and the window of its key is still open. A server that has started since then is
        another one, whatever its id and address: it does not know the key.
        """
        request_class, first_server, repeat_by = (
            request.request_class,
            request.first_run_server,
            request.repeat_deadline(WINDOW_MARGIN),
        )
        if request_class.effect is Effect.REPEATABLE or request.never_ran:
            return True
        if request_class.effect is Effect.ONCE or self.now > repeat_by or candidate.restarted_at > request.first_run_at:
            return False
        if request_class.group == "all":
            return True
        return first_server is not None and getattr(candidate.server, request_class.group) == getattr(
            first_server, request_class.group
        )

    def answer_unserved(self, request: InFlightRequest) -> None:
        """Give the final answer to a request that is not served: a refusal or a failure.

        A refusal promises that a retry by the client is harmless, a failure promises nothing.
        """
        keyed_everywhere = request.request_class.effect is Effect.KEYED and request.request_class.group == "all"
        harmless = request.request_class.effect is Effect.REPEATABLE or keyed_everywhere or request.never_ran
        refusal = api.Refuse(
            request.id, min(self.retry_delay_ms(request), self.settings.max_retry_after_ms), request.cause
        )
        self.actions.append(refusal if harmless else api.Fail(request.id))
        self.end_request(request.arrival)

    def retry_delay_ms(self, request: InFlightRequest) -> float:
        """Return when the client should retry.

        Soon, if only the limit on concurrent attempts was in the way; otherwise as late as the settings allow.
        """
        if request.cause == "open" and not self.overloaded:
            return max(MIN_RETRY_AFTER_MS, statistics.fmean(self.latency_per_unit_ms.values()))
        return math.inf

    def end_request(self, event: api.Event) -> None:
        """Mark a request as answered and cancel its open attempts; forget it when the last of them has ended."""
        request = self.in_flight.get(getattr(event, "request", -1))
        if request is None:
            return
        streaming = event.attempt if isinstance(event, api.StreamStarted) else -1
        for index, attempt in enumerate(request.attempts):
            if attempt.is_open and index != streaming and self.settings.cancel and not request.ended:
                self.actions.append(api.Cancel(request.id, index))
        request.ended = True
        if not request.has_open_attempt:
            del self.in_flight[request.id]
            self.refund(request)

    # Events

    def on_started(self, event: api.Started) -> None:
        """Set the timers that run from now on."""
        self.started = self.now
        for token in [0] + [1] * self.settings.peers + [2] * self.settings.subscribe:
            self.on_alarm(api.Alarm(token))

    def on_arrival(self, event: api.Arrival) -> None:
        """Record a new request and decide on it, after the counter's answer if it is asked."""
        customer, plan = self.customers.get(event.customer), self.settings.plans[event.plan]
        if customer is None:
            self.make_room_for_customer()
            code = zlib.crc32(event.customer.encode())
            customer = Customer(plan, event.set_size, code, self.now, self.now - USAGE_REPORT_TTL_MS, event.set_first)
            reported_share = self.admit_shares.get(code, 100.0) / 100.0
            customer.admit_share = reported_share if self.uses_counter or self.uses_meter else customer.even_share
            # If messages from peers have been received for a while, the bucket is full less the use that they reported.
            if self.uses_peers:
                peers_known = self.initial_fill.confirmed or self.now - self.started > USAGE_REPORT_TTL_MS
                peers_known = peers_known and self.now - self.peer_message_at < USAGE_REPORT_TTL_MS
                used = self.unknown_use.pop(code, [])
                # In a large fleet an even share is less than one request: until reports come, no gateway could admit
                # any. So the bucket counts from the start there, whether messages from peers have been received or not.
                left = replay(plan, used, self.now) if peers_known or self.is_large_fleet else 0.0
                customer.shared_bucket = max(plan.burst * customer.even_share, left)
            customer.ceiling_bucket = self.initial_ceiling_bucket(customer)
            customer.owned_quota = self.quota_owner.account(customer, self.now) if self.quota_owner else None
            self.customers[event.customer] = self.by_code[code] = customer
        else:
            self.customers[event.customer] = self.customers.pop(event.customer)  # to the end of the order
        self.refill(customer)
        # If the bucket does not fill with time, or the customer comes too seldom for its rates to be known, each
        # request earns the admitted share of its units.
        if not self.fills_by_time(customer) or self.now - customer.seen_at > RATE_DECAY_MS:
            capacity = max(event.units, plan.burst * customer.even_share)
            customer.bucket = min(capacity, customer.bucket + customer.admit_share * event.units)
        customer.record_demand(self.now, event.units, event.units * 1000.0 / RATE_DECAY_MS)
        self.active_customers[customer.code] = customer
        request_class = self.settings.classes[event.request_class]
        useful_ms = AIM_MARGIN * request_class.aim_ms if request_class.late_worth <= 0 else event.left_ms
        request = self.in_flight[event.request] = InFlightRequest(
            event, request_class, customer, self.now, min(event.left_ms, useful_ms)
        )
        if event.ran_at < math.inf:
            request.first_run_at = event.ran_at
            request.first_run_server = self.server_by_number(event.ran_on)
        if not self.query_counter(request):
            self.admit(request)

    def server_by_number(self, number: int) -> api.Server | None:
        """Return the server with a number, if it is still listed."""
        states = self.servers.values()
        return next((state.server for state in states if api.server_number(state.server.address) == number), None)

    def refusal_cause(self, request: InFlightRequest) -> str:
        """Return why a request is refused whatever its quota holds, or an empty string.

        The causes are the customer's ceiling ("ceiling"), its throttle ("cut"), too little time left ("time") and the
        admission rate ("pace").
        """
        customer, units = request.customer, request.units
        self.refill(customer)
        cause = "ceiling" if customer.plan.ceiling_rate > 0 and customer.ceiling_bucket < units else ""
        cause = cause or "cut" * (customer.throttle_rate > 0 and customer.throttle_bucket < units)
        cause = cause or "time" * self.is_too_late(request)
        confirmed = request.granted or (customer.admit_share > LIKELY_WITHIN_QUOTA and customer.use_known)
        # Needed only where the servers' limits begin at their minimum, so that cutting them cannot reduce the load.
        if self.initial_limit <= LIMIT_MIN:
            earned = self.admission_rate * (self.now - self.admit_tokens_at) / 1000.0
            self.admit_tokens, self.admit_tokens_at = (
                min(2.0 + 0.5 * self.admission_rate, self.admit_tokens + earned),
                self.now,
            )
            # Little's law: the number of open attempts shows a slow fleet before any answer does.
            max_open_attempts = 1.0 + self.admission_rate * CONCURRENCY_LATENCY * request.request_class.aim_ms / 1000.0
            cause = cause or "pace" * (
                self.admit_tokens < (1.0 if confirmed else UNCONFIRMED_RESERVE)
                or self.open_attempts - self.open_uploads >= max_open_attempts
            )
        return cause

    def is_upload_limit_reached(self, request: InFlightRequest) -> bool:
        """Tell whether a request is an upload and as many attempts of uploads are open as may be."""
        if not request.arrival.is_upload:
            return False
        places = sum(server_state.limit for server_state in self.healthy_servers)
        return self.open_uploads >= max(1.0, UPLOAD_SHARE * places)

    def admit(self, request: InFlightRequest) -> None:
        """Start the first attempt of a request, or let it wait for a place, or refuse it at once.

        Checked in this order: what refuses it whatever its quota holds, its quota, the limit on its customer's
        concurrent attempts, that on uploads, and whether a server has capacity.
        """
        customer, units, request.cause = request.customer, request.units, self.refusal_cause(request)
        request.cause = request.cause or "quota" * (not self.within_quota(customer, units, request.granted))
        request.cause = request.cause or "open" * (
            customer.plan.max_open > 0 and self.is_attempt_limit_likely_reached(customer)
        )
        if request.cause == "open" and self.waiting_requests.try_add(request, self.now, self.expected_ms(request)):
            if not self.waiting_requests.recheck_scheduled:
                self.waiting_requests.recheck_scheduled = True
                self.actions.append(api.SetTimer(RECHECK_INTERVAL_MS, 4))
            return
        request.cause = request.cause or "uploads" * self.is_upload_limit_reached(request)
        server_state = None if request.cause else self.pick_server(request)
        if server_state is None:
            self.answer_unserved(request)
            return
        self.admit_tokens, self.admitted = self.admit_tokens - 1.0, self.admitted + 1.0
        request.take_tokens(units * 1000.0 / RATE_DECAY_MS)
        if self.uses_peers:
            self.unsent_units[customer.code] = self.unsent_units.get(customer.code, 0.0) + units
        self.retry_budget = min(RETRY_BUDGET_MAX, self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        self.start_attempt(request, server_state)
        self.report_attempts(customer)

    def admit_waiting(self, customer: Customer | None) -> None:
        """Decide again on the waiting requests of a customer, or of all for None."""
        for request in self.waiting_requests.pop_all(customer):
            self.admit(request)

    def on_outcome(self, event: api.Outcome) -> None:
        """Record the end of an attempt, learn from it, and answer or retry if the request is still unanswered."""
        request = self.in_flight.get(event.request)
        if request is None or event.attempt >= len(request.attempts) or not request.attempts[event.attempt].is_open:
            return
        attempt, customer = request.attempts[event.attempt], request.customer
        ran = request.finish_attempt(attempt, self.now, event.ending)
        cost = retry_cost(event, ran, self.expected_ms(request))
        self.open_attempts -= 1.0
        self.open_uploads -= request.arrival.is_upload
        self.learn_from_outcome(attempt.target, event, request)
        if event.used is not None and self.now - customer.others_reported_at > self.settings.meter_ms / 2:
            self.record_metered_usage(customer, event.used)
        if event.actual_units is not None and self.settings.cost_after:
            customer.take_tokens(event.actual_units - request.units, event.actual_units - request.units)
        if request.ended or event.finished:
            self.end_request(event)
        elif not request.has_open_attempt and not self.retry(request, cost):
            self.answer_unserved(request)
        self.admit_waiting(customer)
        self.report_attempts(customer)

    def on_alarm(self, event: api.Alarm) -> None:
        """Handle a timer: the interval, messages to peers, the server list, waiting or overdue requests."""
        request = self.in_flight.get(event.token - FIRST_REQUEST_TOKEN)
        if event.token == 0:
            self.close_interval()
        elif event.token == 1:
            # A random period, so that gateways do not send in step.
            self.actions.append(api.SetTimer(self.gossip_interval_ms * (0.5 + self.random.random()), 1))
            self.unsent_open_attempts = self.open_attempt_counts | self.unsent_open_attempts
            self.unsent_units |= self.initial_fill.age_entry(self.now - self.started)
            if (
                self.unsent_units or self.unsent_open_attempts
            ) and self.now - self.broadcast_at >= self.attempt_report_interval_ms:
                self.broadcast()
        elif event.token == 3:
            self.broadcast_due = False
            if self.unsent_open_attempts:
                self.broadcast()
        elif event.token == 4:
            self.admit_waiting(None)
        elif event.token == 2:
            self.actions.append(api.Subscribe())
        elif request is not None and not request.ended and len(request.attempts) == 1 and self.stall_at < self.now:
            # Overdue. No second copy is sent, since it would only add to the load.
            request.overdue, normalized_latency = (
                True,
                (self.now - request.attempts[0].sent_at) / request.request_class.aim_ms,
            )
            if request.attempts[0].target.cold_since is None:
                self.normalized_latencies = [
                    *self.normalized_latencies[1 - LATENCY_SAMPLES :],
                    normalized_latency,  # a lower bound: the attempt is still open
                ]
            self.record_health(request.attempts[0].target, request, False)
