"""Every decision of a petrelhall gateway. Its settings, events and actions: petrelhall/interface.py."""

from __future__ import annotations

import heapq
import math
import random
import statistics
import zlib

from petrelhall.decide import gossip
from petrelhall.decide import interface as api
from petrelhall.decide.correlation import significant
from petrelhall.decide.dawn import Dawn, fill
from petrelhall.decide.interface import Effect, Ending
from petrelhall.decide.ledger import COUNTER_NAME_TTL_MS, verdict
from petrelhall.decide.retries import price
from petrelhall.decide.slowstart import cold_start_share, initial_cold_allowance
from petrelhall.decide.state import Customer, Job, Link, Memory, faded, left_of, taken
from petrelhall.decide.waiting import STEP_MS, Held

# Correlation and cut
INTERVAL_MS, STALL_MS = 1000.0, 200.0  # ms; the paper's interval; its end so late, we have stood still
CORRELATION_WINDOW, MIN_INTERVALS, MIN_ENDS = (
    30,
    8,
    5.0,
)  # intervals of a column, fewest to test; ends for a share
NORMAL_QUANTILE = 1.96  # alpha 0.05, two-sided; Student's point at the degrees of freedom follows from it
MAX_TRACKED_CUSTOMERS, FLAG_RUNS = (
    32,
    2,
)  # busiest customers that are tested; flags in a row: one in 20 is chance
CUT_RATIO, SPARED_USE = 1.0 / 3.5, 0.9  # the paper's; share of quota below which no one is cut
PRESSED, RELIEVED = (1.0, 0.10), (0.7, 0.05)  # latency over aim, share full or timed out: start, lift
# Quota
RATE_DECAY_MS, USAGE_REPORT_TTL_MS = (
    3000.0,
    3000.0,
)  # ms; decay of rates, to follow shifts of traffic; life of news
METER_LAG_MS, PEER_LAG_MS = 1500.0, 150.0  # ms that news of the others' use is old: period and way
TICK_MS, GOSSIP_BUDGET_SHARE, TOLD_STEP = (
    50.0,
    0.6,
    1.3,
)  # ms between messages; share of what a peer takes in; news
MANY_MS, MANY_SHARE, SET_SHARE = 100.0, 0.15, 0.75  # ms: a word to all is late; its share then; the sets'
IDLE_CUSTOMER_TTL_MS, MOST_SHARES = 15000.0, 10000  # idle customers; shares: bound memory
ASK_MIN, COUNTER_SAMPLING_CUT, ASK_STEP, ASK_HASTE = 0.1, 0.7, 0.04, 0.2  # share of tries that call; growth/s
KNOWN = 0.9  # share of demand borne
PASS_MIN, PASS_GAIN, PASS_MS = 0.05, 0.5, 4000.0  # share let in by the meter: least, step at most, its pace
BACK_MS = 50.0  # least wait that a refusal advises
OPEN_LAG_MS, OPEN_RISK, MANY_RISK = 30.0, 0.2, 0.1  # ms that news of an attempt is old; chance of a full cap
ATTEMPT_REPORT_TTL_MS, OPEN_SHARE = (
    300.0,
    0.9,
)  # for which a told attempt counts; share of what a peer takes in
# Servers
LATENCY_GAIN, FLEET_EWMA_WEIGHT, FAULT_GAIN = 0.15, 0.03, 0.05  # weight of an answer: server, fleet, class
FORGIVE_MS, REPORT_MS, TRUST_MS = 8000.0, 500.0, 20000.0  # ms in which slowness, a report, trust lose half
JITTER, CROSSING, OPENING = 0.15, 5.0, 10.0  # chance in a server's cost, against herding; priced, in prices
EJECTION_MIN_MS, EJECT_MAX_MS = 500.0, 4000.0  # ms, first and longest
RESETS = 3  # in a row that look like a death: one is a connection's end, and the next connect tells more
LIMIT_START, LIMIT_MIN, LIMIT_MAX = 12.0, 1.0, 64.0  # attempts out at a server: of all, from here
CALM_WAIT, FULL_WAIT, QUIET_WAIT = 0.20, 0.30, 0.45  # latency over aim: limit grows, falls; silence counts
SAMPLE, TRUST_MIN, TRUSTED = 16, 0.1, 0.5  # servers compared; least chance of one that failed; a good one's
WAITS, SHED_WAIT = 9, 0.4  # answers whose median, over the aim, sheds demand from here on
ADMISSION_RATE_MIN, PACE_SLACK = 0.5, 2.0  # tries/s let in at least; at most, over the usual
PACE_CUT, PACE_STEP, PACE_HASTE = 0.3, 0.02, 0.5  # cut an interval; growth, more where all is quick
PACE_OUT, PASSED_GAIN = 0.2, 0.3  # latency over aim that what is out stands for; an interval's weight
FULL_CUT_ENDS, DOUBT = 4.0, 1.5  # answers for a whole cut; store that the unknown need
LIMIT_CUT, LIMIT_CUT_MS = 0.85, 200.0  # multiplicative decrease, at most once in so many ms
# Attempts
FIRST_GUESS, LEAST_MS = 0.2, 20.0  # latency over aim before any was seen; ms that an answer takes
RETRY_BUDGET_PER_REQUEST, RETRY_CAP = (
    0.15,
    15.0,
)  # retry budget: earned by a first attempt; most that is saved
OVERDUE, OVERDUE_MIN, OVERDUE_MAX = 3.0, 0.2, 0.5  # mean latencies, within shares of the aim
AIM_MARGIN, WINDOW_MARGIN = 0.98, 0.9  # share of the aim, of a keyed window, that is used
FIRST_REQUEST_TOKEN = 5  # timers: 0 interval, 1 and 3 peers, 2 list, 4 who waits, then one for each request


class Gateway(Memory):
    """One front door: feed it every event in order, carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(retries=RETRY_CAP / 2)
        self.settings, self.random, self.waiting_requests = settings, random.Random(seed), Held()
        self.first_limit = max(LIMIT_MIN, LIMIT_START / settings.gateways)
        mail = max(1.0, settings.peer_messages_per_s)
        gap = 1000.0 * settings.gateways / (GOSSIP_BUDGET_SHARE * mail)
        self.peers = settings.peers and (gap < USAGE_REPORT_TTL_MS / 3 or not settings.counter)
        self.open_gap = 1000.0 * max(1, settings.gateways - 1) / (OPEN_SHARE * mail)
        self.many = self.peers and self.open_gap > MANY_MS  # what cannot wait for a word to all goes to sets
        self.gossip_interval_ms = max(TICK_MS, gap * GOSSIP_BUDGET_SHARE / MANY_SHARE if self.many else gap)
        self.open_life = max(ATTEMPT_REPORT_TTL_MS, 2.0 * self.gossip_interval_ms * self.many)
        self.dawn = Dawn((settings.gateways - 1) * (self.peers and not self.many))
        self.counter = settings.counter and not self.peers
        self.metered = settings.meter_ms > 0 and not self.counter and not self.peers
        self.latency = {kind: FIRST_GUESS * kind.aim_ms for kind in settings.classes}  # ms a unit
        self.failure_rates = [0.0 for kind in settings.classes]  # share of a class's attempts that fail

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the given time: a kind has its method (on_arrival ...) or is an end."""
        self.now, self.actions = now, []
        self.stalled = now if now > self.interval_due + STALL_MS else self.stalled  # this tells of us alone
        getattr(self, "on_" + type(event).__name__.lower(), self.end)(event)
        return self.actions

    # Quota

    def refill(self, customer: Customer) -> None:
        """Bring a customer's stores and rates up to now."""
        plan, even, elapsed = customer.plan, customer.even, (self.now - customer.filled) / 1000.0
        customer.filled, use = self.now, max(1e-9, customer.sent + customer.others)
        part = max(even, customer.sent / use)
        if self.timed(customer):
            fill = part * elapsed * plan.rate * min(1.0, plan.rate / use)
            customer.bucket = min(max(self.settings.largest_units, plan.burst * part), customer.bucket + fill)
        unused = plan.rate - customer.others * self.metered
        customer.fill(elapsed, max(0.0, unused), plan.ceiling_rate * even, plan.ceiling_burst * even)
        stale = not self.metered or self.now - customer.news_at > USAGE_REPORT_TTL_MS
        customer.fade(math.exp(-elapsed * 1000.0 / RATE_DECAY_MS), stale)

    def timed(self, customer: Customer) -> bool:
        """Tell whether the bucket fills by time: only where this gateway's part can hold a whole request."""
        whole = customer.plan.burst * customer.even >= self.settings.largest_units
        return self.metered or (self.counter and whole)

    def within_quota(self, customer: Customer, units: float, verdict: bool | None) -> bool:
        """Let the bucket decide; beyond it, borrow room that the others are known to leave unused."""
        plan, within = customer.plan, min(customer.bucket, customer.shared) >= units
        if plan.rate <= 0 or verdict is not None:
            return verdict is not False
        heard = max(customer.news_at, self.peers_at, self.started * self.many)
        if self.counter or self.now - heard > USAGE_REPORT_TTL_MS:
            return within
        lag_s = (METER_LAG_MS if self.metered else PEER_LAG_MS) / 1000.0
        borrow = customer.shared >= units + customer.others * lag_s
        return borrow or within or (self.metered and customer.bucket >= units)

    def is_cap_likely_full(self, customer: Customer) -> bool:
        """Tell whether a customer likely has all attempts out that its plan allows, with those of its peers.

        A peer says again and again what is out, so that its silence is soon taken for its end. Until peers
        were heard for a while the even slice holds.
        """
        left = customer.plan.max_open - customer.open
        unheard = self.now - max(self.started, self.peers_at) > USAGE_REPORT_TTL_MS
        unheard = unheard or (self.now - self.started < RATE_DECAY_MS and not self.dawn.known)
        if left <= 0 or not self.peers or unheard:
            return max(1, int(customer.plan.max_open * customer.even)) <= customer.open or left <= 0
        left -= int(sum(out for out, at in customer.elsewhere.values() if at > self.now - self.open_life))
        begun = customer.others * OPEN_LAG_MS / 1000.0  # theirs since: it scatters as Poisson's does
        fewer = math.exp(-begun) * sum(begun**n / math.factorial(n) for n in range(left))
        return 1.0 - fewer > (MANY_RISK if self.many else OPEN_RISK)

    def tell_open(self, customer: Customer) -> None:
        """Tell peers how many attempts are out, at once where the last message is old enough.

        An attempt is over in the time of a few messages, so that a tick would come too late.
        """
        if not self.peers or customer.plan.max_open <= 0:
            return
        self.opened[customer.code] = self.outs[customer.code] = customer.open
        if not customer.open:
            del self.outs[customer.code]
        if self.many:
            return self.send_to_customer_gateways(customer)
        wait = self.told_at + self.open_gap - self.now
        if wait <= 0.0:
            self.tell_peers()
        elif not self.tell_due:
            self.tell_due = True
            self.actions.append(api.SetTimer(wait, 3))

    def send_to_customer_gateways(self, customer: Customer) -> None:
        """Tell a customer's gateways of it: each hears as many words as it sends, and keeps to that."""
        others = customer.others_of_set(self.settings.position, self.settings.gateways)
        if not self.set_words(len(others), SET_SHARE * self.settings.peer_messages_per_s):
            return  # it goes with the next word to all
        code, told = customer.code, self.told.pop(customer.code, 0.0)
        opens = [(code, self.opened.pop(code))] if code in self.opened else []
        self.actions.append(api.Tell(gossip.encode([(code, told)], opens, self.sums), others))

    def tell_peers(self) -> None:
        """Send what peers were not told yet, as far as a message holds it."""
        content, self.told, self.opened = gossip.pack(self.told, self.opened, self.sums)
        self.actions.append(api.Tell(content))
        self.told_at = self.now

    def others_used(self, customer: Customer, units: float) -> None:
        """Book what other gateways sent on; what a full store would have lost pays first."""
        self.refill(customer)
        customer.shared = taken(customer.shared, max(0.0, units - customer.spilled), self.many)
        customer.spilled, customer.news_at = 0.0, self.now
        customer.others += units * 1000.0 / RATE_DECAY_MS

    def metered_use(self, customer: Customer, used: float) -> None:
        """Learn the others' use, and the share of demand that the quota bears: the same at all gateways."""
        self.refill(customer)
        step = min(PASS_GAIN, (self.now - customer.news_at) / PASS_MS) * (1.0 - used) / max(1.0, used)
        customer.share = max(PASS_MIN, min(1.0, customer.share * (1.0 + step)))
        customer.heard, customer.news_at = True, self.now
        use = max(0.0, used * customer.plan.rate - customer.sent)
        customer.others += 0.5 * (use - customer.others) * self.metered

    def ask_counter(self, job: Job) -> bool:
        """Hold a request while the counter tells what all asked for; crowded, it hears a share for all."""
        customer, late = job.customer, job.deadline - self.now < 2.0 * self.settings.counter_wait_ms
        asked = self.counter or (self.many and self.settings.counter and not customer.plan.max_open)
        if asked and self.many and customer.level_now(self.now) < job.units:  # others only took from it since
            job.verdict, asked = False, False
        if not asked or late or customer.plan.rate <= 0 or self.ask_share < self.random.random():
            return False
        if self.many and self.barred(job):  # what would have to be given back is lost to all until then
            return False
        name = customer.code << 8 | int(self.now / COUNTER_NAME_TTL_MS) & 255
        job.told = job.units / self.ask_share
        amount, customer.unsaid = job.told + customer.unsaid, 0.0
        self.call_counter(name, amount, job, None)
        return True

    def call_counter(self, name: int, amount: float, job: Job, seen: float | None) -> None:
        """Add to a name for a try, or to put right the total that was seen."""
        self.called(name, (amount, job, self.now, seen))
        self.actions.append(api.CounterAdd(name, amount, COUNTER_NAME_TTL_MS))

    def on_counterreply(self, event: api.CounterReply) -> None:
        """Book growth beyond our own call as the others', and what a quota bears of all that was asked."""
        call = self.heard(event.name)
        if call is None:
            return
        amount, job, asked, seen = call
        if seen is not None:  # put right: who finds that another did the same takes its own back
            twice = min(amount, event.total - seen - amount)
            if event.ending is Ending.OK and twice > 0.5 * amount > 0.0:
                self.call_counter(event.name, -twice, job, math.inf)
            return
        customer = job.customer
        if event.ending is Ending.OK:
            before = customer.total if customer.total_of == event.name else event.total
            customer.total, customer.total_of, customer.heard = event.total, event.name, True
            if self.counter:  # of many, peers tell of it: it must not count twice
                self.others_used(customer, max(0.0, event.total - before - amount))
            job.verdict, put_right = verdict(customer, asked, amount, job.told, job.units, event.total)
            if put_right and (self.many or self.ask_share >= 1.0) and not job.ended:
                self.call_counter(event.name, put_right, job, event.total)
            else:
                customer.unsaid += min(0.0, put_right)
            was, percent = self.shares.get(customer.code, 100.0), max(1.0, 100.0 * customer.share)
            if self.counter and self.settings.peers and max(was, percent) > TOLD_STEP * min(was, percent):
                self.told[customer.code] = percent
                self.remember(customer.code, percent, MOST_SHARES)
            haste = ASK_HASTE if self.now - self.unheard_at > USAGE_REPORT_TTL_MS else ASK_STEP
            self.ask_share += min(1.0 - self.ask_share, haste * min(1.0, (self.now - self.asked_at) / 1000.0))
            self.asked_at = self.now
        elif asked > self.unheard_at:  # one crowd is one cut, however many calls it held up
            self.ask_share, self.unheard_at = max(ASK_MIN, self.ask_share * COUNTER_SAMPLING_CUT), self.now
        if job.ended:  # its client has left meanwhile
            self.give_back(job)
        else:
            self.admit(job)

    def on_peermessage(self, event: api.PeerMessage) -> None:
        """Book a peer's use; where a counter measures, the share of demand that it found instead."""
        self.peers_at = self.now
        uses, opens = gossip.decode(event.content, event.sender, self.heard_sums)
        for code, told in uses:
            if code == gossip.AGE:
                if self.dawn.heard(event.sender, told, self.now - self.started):
                    self.fill_stores()
            elif code in self.codes and self.peers:
                self.others_used(self.codes[code], told)
            elif not self.peers:
                self.remember(code, told, MOST_SHARES)
            else:
                self.strangers.setdefault(code, []).append((self.now, told))
        for code, out in opens:
            if code in self.codes:
                self.codes[code].elsewhere[event.sender] = out, self.now
                self.release(self.codes[code])

    def fill_stores(self) -> None:
        """All began together: what was left out of each store, since others might have used it, is there."""
        for customer in self.customers.values():
            self.refill(customer)
            fill(customer)

    # Correlation and cut

    def close_interval(self) -> None:
        """Pair each column's units with the interval's pressure, test, and start or lift the cut."""
        self.actions.append(api.SetTimer(INTERVAL_MS, 0))
        self.interval_due = self.now + INTERVAL_MS
        lateness, bad = self.lateness / max(1.0, self.served), self.bad / max(MIN_ENDS, self.ends)
        was, (late, failed) = self.pressed, RELIEVED if self.pressed else PRESSED
        self.pressed = lateness > late or bad > failed
        wait = statistics.median(self.waits or [0.0]) / SHED_WAIT - 1.0
        self.slow = wait > 0.0
        self.set_pace(wait)
        for customer in self.columns.values():
            self.refill(customer)
            customer.pairs = [*customer.pairs[1 - CORRELATION_WINDOW :], (customer.units, lateness + bad)]
            tested = len(customer.pairs) >= MIN_INTERVALS and significant(customer.pairs, NORMAL_QUANTILE)
            customer.runs = customer.runs + 1 if tested else 0
            beyond = customer.demand + customer.others > SPARED_USE * customer.plan.rate
            if not self.pressed or customer.runs < FLAG_RUNS:
                customer.cut_rate = 0.0
            elif not customer.cut_rate and beyond:
                customer.cut_rate = customer.demand * CUT_RATIO
        if was != self.pressed:
            self.actions.append(api.Note(f"pressed {self.pressed}: {lateness:.2f} late, {bad:.2f} bad"))
        known = self.columns | self.asked
        self.columns = {
            c.code: c for c in heapq.nlargest(MAX_TRACKED_CUSTOMERS, known.values(), key=lambda c: c.demand)
        }
        for code, customer in known.items():
            customer.units = 0.0
            if code not in self.columns:
                customer.leave_column()
        warm = sum(link.cold_since is None and self.now >= link.ejected_until for link in self.ready)
        self.warm_rate += 0.2 * (self.warm_sends / max(1, warm) - self.warm_rate) * (warm > 0)
        self.lateness = self.served = self.bad = self.ends = self.warm_sends = 0.0
        self.asked = {}
        self.forget(self.now - IDLE_CUSTOMER_TTL_MS)

    def set_pace(self, wait: float) -> None:
        """Bound what is let in by a rate of our own for all servers: tries may multiply, servers do not.

        Also against floods, failed-over traffic, replayed backlogs. It hurts where true demand doubles.
        """
        self.passed += (PASSED_GAIN if self.passed else 1.0) * (self.passes - self.passed)
        if self.slow and self.ends:
            cut = PACE_CUT * min(1.0, wait) * min(1.0, self.ends / FULL_CUT_ENDS)  # few answers are old news
            self.pace = min(self.pace, 1.0 + self.passed) * (1.0 - cut)
        elif not self.slow:
            self.pace *= 1.0 + PACE_STEP - PACE_HASTE * min(0.0, wait)
        most = max(self.first_pace, PACE_SLACK * (1.0 + self.passed))
        self.pace = max(ADMISSION_RATE_MIN, min(most, self.pace))
        self.passes, self.waits = 0.0, self.waits[len(self.waits) // 3 :]  # old news fades

    # Servers and health

    def on_serverlist(self, event: api.ServerList) -> None:
        """Follow discovery; who drains or is gone gets nothing new from this moment on."""
        if event.kind == "failed" and self.settings.subscribe:
            self.actions.append(api.SetTimer(INTERVAL_MS, 2))
        elif event.kind in ("full", "cached"):
            named = {server.address for server in event.servers}
            self.links = {address: link for address, link in self.links.items() if address in named}
        for server in event.servers:
            link = self.links.get(server.address)
            if link is None or server.since_ms > link.server.since_ms:
                link = Link(server, self.first_limit, initial_cold_allowance(server.address, self.settings), self.now)
                self.links[server.address] = link
            link.server = server
            if server.since_ms and self.now - server.since_ms < self.settings.cold_ms:
                link.cold_since = max(link.cold_since or 0.0, server.since_ms)
            if server.phase == "deregistered":
                del self.links[server.address]
        self.ready = [link for link in self.links.values() if link.server.phase == "healthy"]
        self.first_pace = max(ADMISSION_RATE_MIN, LIMIT_START * len(self.ready) / self.settings.gateways)
        if not self.passed:  # nothing known: as many a second as may be out at first
            self.pace = self.first_pace

    def pick(self, job: Job) -> Link | None:
        """Pick a server, in the first of the request's pools that has one with room."""
        if not job.event.pools:
            return self.least(job, self.ready)
        ways = ([link for link in self.ready if link.server.pool == pool] for pool in job.event.pools)
        return next(filter(None, (self.least(job, way) for way in ways)), None)

    def least(self, job: Job, ready: list[Link]) -> Link | None:
        """Pick the least expected wait among servers with room, by work out and measured slowness."""
        best, least = None, math.inf
        for link in self.random.sample(ready, min(SAMPLE, len(ready))):
            ramp = cold_start_share(link, self.now, self.settings, self.warm_rate)
            quiet = link.out > 0 and link.heard < self.now - QUIET_WAIT * job.kind.aim_ms < link.sent
            used = any(attempt.link is link for attempt in job.attempts)
            shut = link.out >= max(1.0, link.limit * ramp) or self.now < link.ejected_until
            if not ramp or quiet or used or shut or not self.allowed(job, link.server):
                continue
            slowness = faded(link.slowness, 1.0, (self.now - link.measured) / FORGIVE_MS)
            rest = self.crowd * (link.cold_since is None)  # old news of it tells less than all do
            others = faded(link.others, rest, (self.now - link.reported) / REPORT_MS)
            cost = (link.out + others + 1.0) * slowness / max(0.01, link.server.weight)
            good, at = link.health.get(job.index, (1.0, -math.inf))  # the chance that it answers this class
            cost /= max(TRUST_MIN, faded(good, 1.0 - self.failure_rates[job.index], (self.now - at) / TRUST_MS)) ** 2
            crossing = CROSSING * self.settings.cross_zone_price * (link.server.zone != self.settings.zone)
            opening = OPENING * self.settings.handshake_price * (not link.sent)  # most likely not connected
            cost *= 1.0 + crossing + opening + JITTER * self.random.random()
            if cost < least:
                best, least = link, cost
        return best

    def note_health(self, link: Link, job: Job, good: bool) -> None:
        """Remember how a server did for a class, and how the class does everywhere."""
        if good or not self.slow:  # all slow is overload: crowding the few that were quick makes it worse
            link.health[job.index] = (0.5 * (link.health.get(job.index, (1.0, 0.0))[0] + good), self.now)
            self.failure_rates[job.index] += FAULT_GAIN * ((not good) - self.failure_rates[job.index])

    def judge(self, link: Link, event: api.Outcome, job: Job) -> None:
        """Learn from how an attempt ended: latency, concurrency limit, outlier ejection."""
        ending, lateness = event.ending, event.latency_ms / job.kind.aim_ms
        self.ends += ending not in (Ending.MOOT, Ending.CANCELLED)
        self.bad += ending in (Ending.FULL, Ending.TIMEOUT)
        ratio = event.latency_ms / max(1e-3, self.expected(job))
        telling = ending is Ending.OK or (ending is Ending.TIMEOUT and ratio > 1.0)  # not a short time-out
        if telling and self.stalled < self.now:
            self.latency[job.kind] *= 1.0 + FLEET_EWMA_WEIGHT * (ratio - 1.0)
            link.slowness += LATENCY_GAIN * (min(ratio, 10.0) - link.slowness)
            link.wait += LATENCY_GAIN * (lateness - link.wait)
            if not job.overdue and link.cold_since is None:  # slow start is no overload
                self.waits = [*self.waits[1 - WAITS :], lateness]
            link.measured, served = self.now, ending is Ending.OK
            self.served, self.lateness = self.served + served, self.lateness + lateness * served
            if link.wait < CALM_WAIT and link.out + 1.0 > 0.5 * link.limit:  # only a limit in use is tested
                link.limit = min(LIMIT_MAX, link.limit + 1.0 / link.limit)
        if (link.wait > FULL_WAIT or ending is Ending.FULL) and self.now - link.limit_cut > LIMIT_CUT_MS:
            link.limit, link.limit_cut = max(LIMIT_MIN, link.limit * LIMIT_CUT), self.now
        if ending in (Ending.OK, Ending.FULL):
            if link.down_at:  # back from the dead: cold, though the list may not say so yet
                link.cold_since = max(link.cold_since or 0.0, link.down_at)
            link.ejections, link.down_at = 0, 0.0
        link.resets = link.resets + 1 if ending is Ending.RESET else 0
        if ending is Ending.CONNECT_FAILED or link.resets >= RESETS:  # trust meets the rest
            if ending is Ending.CONNECT_FAILED:  # a proof of death: it will be cold when it is back
                link.down_at = self.now
            if self.now >= link.ejected_until:
                pause = min(EJECT_MAX_MS, EJECTION_MIN_MS * 2.0**link.ejections)
                link.ejected_until, link.ejections = self.now + pause, link.ejections + 1
                self.actions.append(api.Note(f"ejected {link.server.address}, time {link.ejections}"))
        if telling or ending in (Ending.ERROR, Ending.RESET):
            self.note_health(link, job, ending is Ending.OK)
        if "rif" in event.report:
            link.others, link.reported = max(0.0, event.report["rif"] - link.out), self.now
            self.crowd += FLEET_EWMA_WEIGHT * (link.others - self.crowd)

    # Attempts

    def send(self, job: Job, link: Link) -> None:
        """Start an attempt that ends when its answer is worth nothing more; see to its being overdue."""
        job.start(link, self.now)
        trusted = link.health.get(job.index, (1.0, 0.0))[0] >= TRUSTED  # not who fails
        self.out, self.warm_sends = self.out + 1.0, self.warm_sends + (link.cold_since is None and trusted)
        self.actions.append(job.last_send(self.now, WINDOW_MARGIN))
        if len(job.attempts) == 1:
            wait = max(OVERDUE_MIN * job.kind.aim_ms, OVERDUE * self.expected(job))
            self.actions.append(api.SetTimer(min(OVERDUE_MAX * job.kind.aim_ms, wait), job.id + FIRST_REQUEST_TOKEN))

    def hopeless(self, job: Job) -> bool:
        """Tell whether too little time is left for an answer of worth, or for an attempt to end in order."""
        return self.now + max(LEAST_MS, 0.5 * self.expected(job)) > job.useful_until

    def expected(self, job: Job) -> float:
        """Give the ms that this request should take on an ordinary server."""
        return self.latency[job.kind] * max(0.1, job.units)

    def again(self, job: Job, price: float) -> bool:
        """Send another attempt, if rules, retry budget and the time left allow."""
        if len(job.attempts) >= self.settings.max_attempts or self.hopeless(job):
            return False
        link = self.pick(job) if self.retries >= price else None
        if link is not None:
            self.retries -= price
            self.send(job, link)
        return link is not None

    # Rule guards

    def allowed(self, job: Job, server: api.Server) -> bool:
        """Effects: what may have run goes out again only if repeatable, or keyed, in its group and window."""
        kind, first, late = job.kind, job.ran_server, job.repeat_by(WINDOW_MARGIN)
        if kind.effect is Effect.REPEATABLE or job.never_ran:
            return True
        if kind.effect is Effect.ONCE or first is None or self.now > late:
            return False
        return kind.group == "all" or getattr(server, kind.group) == getattr(first, kind.group)

    def finish(self, job: Job) -> None:
        """Give the one final answer: a refusal promises that a retry is harmless, a failure nothing."""
        keyed = job.kind.effect is Effect.KEYED and job.kind.group == "all"
        harmless = job.kind.effect is Effect.REPEATABLE or keyed or job.never_ran
        refusal = api.Refuse(job.id, min(self.advice(job), self.settings.max_retry_after_ms), job.cause)
        self.actions.append(refusal if harmless else api.Fail(job.id))
        self.end(job.event)

    def advice(self, job: Job) -> float:
        """Say when to come back: soon where only the cap on attempts out was in the way, else late."""
        if job.cause == "open" and not self.pressed:
            return max(BACK_MS, statistics.fmean(self.latency.values()))
        return math.inf

    def end(self, event: api.Event) -> None:
        """Owe nothing more; call off copies still out, and forget the request with the last of them."""
        job = self.jobs.get(getattr(event, "request", -1))
        if job is None:
            return
        streaming = event.attempt if isinstance(event, api.StreamStarted) else -1
        for index, attempt in enumerate(job.attempts):
            if attempt.out and index != streaming and self.settings.cancel and not job.ended:
                self.actions.append(api.Cancel(job.id, index))
        job.ended = True
        if not job.waiting:
            del self.jobs[job.id]
            self.give_back(job)

    # Events

    def on_started(self, event: api.Started) -> None:
        """Set the timers that run from now on."""
        self.started = self.now
        for token in [0] + [1] * self.settings.peers + [2] * self.settings.subscribe:
            self.on_alarm(api.Alarm(token))

    def on_arrival(self, event: api.Arrival) -> None:
        """Count the request, then decide on it, once the counter has been heard where there is one."""
        customer, plan = self.customers.get(event.customer), self.settings.plans[event.plan]
        if customer is None:
            code = zlib.crc32(event.customer.encode())
            customer = Customer(plan, event.set_size, code, self.now, self.now - USAGE_REPORT_TTL_MS, event.set_first)
            told = self.shares.get(code, 100.0) / 100.0
            customer.share = told if self.counter or self.metered else customer.even
            if self.peers:  # the store less what was told of it, where peers were heard for a while
                heard = self.dawn.known or self.now - self.started > USAGE_REPORT_TTL_MS
                heard = heard and self.now - self.peers_at < USAGE_REPORT_TTL_MS
                used = self.strangers.pop(code, [])
                # Of many, a slice is under one request: it would give nobody any until news comes.
                left = left_of(plan, used, self.now) if heard or self.many else 0.0
                customer.shared = max(plan.burst * customer.even, left)
            customer.cap = (
                customer.even * plan.ceiling_rate * min(IDLE_CUSTOMER_TTL_MS, self.now - self.started) / 1000.0
            )
            customer.owned = self.owner.account(customer, self.now) if self.owner else None
            self.customers[event.customer] = self.codes[code] = customer
        self.refill(customer)
        if not self.timed(customer) or self.now - customer.seen > RATE_DECAY_MS:  # too seldom for rates
            most = max(event.units, plan.burst * customer.even)
            customer.bucket = min(most, customer.bucket + customer.share * event.units)
        customer.ask(self.now, event.units, event.units * 1000.0 / RATE_DECAY_MS)
        self.asked[customer.code] = customer
        kind = self.settings.classes[event.request_class]
        useful = AIM_MARGIN * kind.aim_ms if kind.late_worth <= 0 else event.left_ms
        job = self.jobs[event.request] = Job(event, kind, customer, self.now, min(event.left_ms, useful))
        if not self.ask_counter(job):
            self.admit(job)

    def barred(self, job: Job) -> str:
        """Say whether ceiling, cut, time or pace refuse a request, whatever its quota holds."""
        customer, units = job.customer, job.units
        self.refill(customer)
        refused = "ceiling" if customer.plan.ceiling_rate > 0 and customer.cap < units else ""
        refused = refused or "cut" * (customer.cut_rate > 0 and customer.cut_store < units)
        refused = refused or "time" * self.hopeless(job)
        known = job.verdict or (customer.share > KNOWN and customer.heard)
        if self.first_limit <= LIMIT_MIN:  # no limit of a server is left to fall
            fill = self.pace * (self.now - self.paced_at) / 1000.0
            self.room_store, self.paced_at = min(2.0 + 0.5 * self.pace, self.room_store + fill), self.now
            most = 1.0 + self.pace * PACE_OUT * job.kind.aim_ms / 1000.0  # Little's law: before answers tell
            refused = refused or "pace" * (self.room_store < (1.0 if known else DOUBT) or self.out >= most)
        return refused

    def admit(self, job: Job) -> None:
        """What bars it, then its quota, then a server with room; else refuse at once."""
        customer, units, job.cause = job.customer, job.units, self.barred(job)
        job.cause = job.cause or "quota" * (not self.within_quota(customer, units, job.verdict))
        job.cause = job.cause or "open" * (customer.plan.max_open > 0 and self.is_cap_likely_full(customer))
        if job.cause == "open" and self.waiting_requests.take(job, self.now, self.expected(job)):
            if not self.waiting_requests.due:
                self.waiting_requests.due = True
                self.actions.append(api.SetTimer(STEP_MS, 4))
            return
        link = None if job.cause else self.pick(job)
        if link is None:
            self.finish(job)
            return
        self.room_store, self.passes = self.room_store - 1.0, self.passes + 1.0
        job.draw(units * 1000.0 / RATE_DECAY_MS)
        if self.peers:
            self.told[customer.code] = self.told.get(customer.code, 0.0) + units
        self.retries = min(RETRY_CAP, self.retries + RETRY_BUDGET_PER_REQUEST)
        self.send(job, link)
        self.tell_open(customer)

    def release(self, customer: Customer | None) -> None:
        """Decide anew on those that wait for a place of a customer, or for any."""
        for job in self.waiting_requests.leave(customer):
            self.admit(job)

    def on_outcome(self, event: api.Outcome) -> None:
        """Book the attempt, learn from it, and answer or try again where the answer is still owed."""
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt, customer = job.attempts[event.attempt], job.customer
        ran = job.settle(attempt, self.now, event.ending)
        cost = price(event, ran, self.expected(job))
        self.out -= 1.0
        self.judge(attempt.link, event, job)
        if event.used is not None and self.now - customer.news_at > self.settings.meter_ms / 2:
            self.metered_use(customer, event.used)
        if event.actual_units is not None and self.settings.cost_after:
            customer.draw(event.actual_units - job.units, event.actual_units - job.units)
        if job.ended or event.finished:
            self.end(event)
        elif not job.waiting and not self.again(job, cost):
            self.finish(job)
        self.release(customer)
        self.tell_open(customer)

    def on_alarm(self, event: api.Alarm) -> None:
        """Timers: the interval, the tick to peers, following the list, and hedges by request."""
        job = self.jobs.get(event.token - FIRST_REQUEST_TOKEN)
        if event.token == 0:
            self.close_interval()
        elif event.token == 1:
            self.actions.append(api.SetTimer(self.gossip_interval_ms * (0.5 + self.random.random()), 1))  # not in step
            self.opened = self.outs | self.opened
            self.told |= self.dawn.word(self.now - self.started)
            if (self.told or self.opened) and self.now - self.told_at >= self.open_gap:
                self.tell_peers()
        elif event.token == 3:
            self.tell_due = False
            if self.opened:
                self.tell_peers()
        elif event.token == 4:
            self.release(None)
        elif event.token == 2:
            self.actions.append(api.Subscribe())
        elif job is not None and not job.ended and len(job.attempts) == 1 and self.stalled < self.now:
            job.overdue, lateness = True, (self.now - job.attempts[0].sent) / job.kind.aim_ms
            if job.attempts[0].link.cold_since is None:
                self.waits = [*self.waits[1 - WAITS :], lateness]  # it takes at least so long
            self.note_health(job.attempts[0].link, job, False)  # overdue; a copy would only add to the load
