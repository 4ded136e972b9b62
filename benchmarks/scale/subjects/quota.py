"""Owned shares of quotas: CPU, memory, messages and counter calls of one gateway, by the tenants with an account."""

from __future__ import annotations

import random
import time
import unittest.mock
from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.scale.installation import PEAK_REQUESTS_PER_S, PEER_MESSAGES_PER_S, SET_SIZE
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples, cpu_ms, held_bytes
from petrelhall.capacity.records import Slope
from petrelhall.gateway.sharing import ACCOUNT_SWEEP_INTERVAL_MS, IDLE_ACCOUNT_TTL_MS
from petrelhall.quota import ledger as ledgers
from petrelhall.quota import words
from petrelhall.quota.exchange import Exchange
from petrelhall.quota.ledger import TURN_MS, Account, Ledger, Send
from petrelhall.quota.shares import Terms
from petrelhall.quota.words import Entry, Word

SHARE = 0.3  # of the messages: the default of the operators' file
RATE, BURST = 0.4, 2.0  # of a tenant, units/s and units
BUSY_PART = 0.1  # of the tenants, to whom half of the requests belong
START_MS = 1e6
WORD_ENTRIES = 5  # asks in a message that is heard
UNDROPPED = 0.7  # of the time after which idle accounts are dropped: as long a play leaves all of them
OPENED = 20  # accounts that one sample of opening opens


@dataclass
class Spent:
    """What some seconds of one gateway's shares cost."""

    cpu_s: float = 0.0
    longest_ms: float = 0.0
    messages: int = 0
    message_bytes: int = 0
    calls: int = 0


class Shares:
    """One gateway's ledger, and its exchange where units go through the counter."""

    def __init__(self, tenants: int, seed: int, counter: bool) -> None:
        per_s = 0.0 if counter else SHARE * PEER_MESSAGES_PER_S
        self.terms = Terms(RATE, BURST, SET_SIZE, counter)
        self.ledger = Ledger(0, 1, per_s, seed, START_MS - 1e6)
        self.others = () if counter else tuple(range(1, SET_SIZE))
        self.exchange = Exchange(self.ledger) if counter else None
        self.random, self.now, self.nonce = random.Random(seed), START_MS, 0
        with unittest.mock.patch.object(ledgers, "MOST_ACCOUNTS", tenants + 1):  # or filling would take minutes
            self.accounts = [self.open(number) for number in range(tenants)]
        self.ledger.dawn(self.now)

    def open(self, number: int) -> Account:
        """Open a tenant's account."""
        return self.ledger.account(number, False, self.terms, self.others, self.now)

    def run(self, seconds: float) -> Spent:
        """Play requests at the gateway's peak rate, and asks of the others at the rate that the plan lets in."""
        spent, end, swept = Spent(), self.now + 1000.0 * seconds, self.now
        requests = PEAK_REQUESTS_PER_S * TURN_MS / 1000.0
        due = heard = 0.0
        while self.now < end:
            self.now += TURN_MS
            due, heard = due + requests, heard + self.ledger.per_s * TURN_MS / 1000.0
            began = time.process_time()
            while due >= 1.0:
                due -= 1.0
                self.request()
            while heard >= 1.0:
                heard -= 1.0
                self.book(spent, self.ledger.heard(self.now, self.random.randrange(1, SET_SIZE), self.word()))
            if self.exchange is not None:
                for call in self.exchange.turn(self.now):
                    spent.calls += 1
                    self.exchange.answered(self.now, call.name, True, False, max(0.0, call.amount))
            self.book(spent, self.ledger.turn(self.now))
            if self.now - swept >= ACCOUNT_SWEEP_INTERVAL_MS:
                swept = self.now
                self.ledger.forget(self.now, IDLE_ACCOUNT_TTL_MS)
            turn_s = time.process_time() - began
            spent.cpu_s += turn_s
            spent.longest_ms = max(spent.longest_ms, 1000.0 * turn_s)
        return spent

    def request(self) -> None:
        """Have a tenant ask for a unit, and spend it where it is there."""
        busy = max(1, int(BUSY_PART * len(self.accounts)))
        account = self.accounts[self.random.randrange(busy if self.random.random() < 0.5 else len(self.accounts))]
        self.ledger.want(account, self.now, 1.0)
        if account.share.available(self.now) >= 1.0:
            account.share.spend(self.now, 1.0)

    def word(self) -> bytes:
        """Give a message in which another gateway asks for units."""
        asks = []
        for _ in range(WORD_ENTRIES):
            self.nonce = self.nonce % 0xFFFF + 1
            asks.append(Entry(self.random.randrange(len(self.accounts)), self.nonce, 2, False))
        return words.encode(Word(1, 0, 0, tuple(asks)))

    def book(self, spent: Spent, actions: list[ledgers.Action]) -> None:
        """Count what is sent."""
        for action in actions:
            if isinstance(action, Send):
                spent.messages += 1
                spent.message_bytes += len(action.content)


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    cpu = Samples(
        "quota.cpu",
        "CPU that a second of owned shares takes at one gateway that lends by messages, at 81 requests/s.",
        "ms/s",
        "tenants",
        "Sockets are left out; half of the requests belong to a tenth of the tenants, each with a set of 4 gateways.",
    )
    longest = Samples(
        "quota.turn.longest",
        "Longest turn of owned shares, the sweep of idle accounts included: a pause for all requests.",
        "ms",
        "tenants",
        "No account is idle for long enough to be dropped; dropping many at once adds to it.",
    )
    messages = Samples(
        "quota.messages",
        "Messages with asks and loans that one gateway sends a second.",
        "messages/s",
        "tenants",
        "Nobody answers its asks; it may send 30 a second at most, so more would have to wait.",
    )
    sent_bytes = Samples(
        "quota.bytes",
        "Payload of those messages.",
        "bytes/s",
        "tenants",
        "Headers of UDP, IP and Ethernet, 28 bytes a message and more, are left out.",
    )
    counter_cpu = Samples(
        "quota.counter.cpu",
        "CPU that a second of owned shares takes at one gateway that lends through the shared counter.",
        "ms/s",
        "tenants",
        "Sockets and the counter's own work are left out; every call is answered at once, and nobody takes units.",
    )
    counter_calls = Samples(
        "quota.counter.calls",
        "Calls of the shared counter for owned shares that one gateway makes a second.",
        "calls/s",
        "tenants",
        "Every call is answered at once, and nobody else puts units in or takes them.",
    )
    memory = Samples(
        "quota.memory",
        "Memory that one gateway's accounts hold.",
        "MiB",
        "tenants",
        "tracemalloc counts objects; loans that stand and asks that are out add to it.",
    )
    seconds = min(effort.seconds, UNDROPPED * IDLE_ACCOUNT_TTL_MS / 1000.0)
    for tenants in effort.accounts:
        for seed in range(1, 1 + effort.repeats):
            spent = Shares(tenants, seed, False).run(seconds)
            cpu.add(tenants, 1000.0 * spent.cpu_s / seconds)
            longest.add(tenants, spent.longest_ms)
            messages.add(tenants, spent.messages / seconds)
            sent_bytes.add(tenants, spent.message_bytes / seconds)
            spent = Shares(tenants, seed, True).run(seconds)
            counter_cpu.add(tenants, 1000.0 * spent.cpu_s / seconds)
            counter_calls.add(tenants, spent.calls / seconds)
        memory.add(tenants, held_bytes(Shares, tenants, 1, False) / MEBIBYTE)
    for samples in (cpu, longest, messages, sent_bytes, counter_cpu, counter_calls, memory):
        yield samples.slope()
    yield opening(effort)


def opening(effort: Effort) -> Slope:
    """Give the cost of one more account where there are more than are meant to be."""
    cpu = Samples(
        "quota.open.cpu",
        f"CPU of opening one account where {ledgers.MOST_ACCOUNTS} or more are open, all in use: a sweep each time.",
        "ms",
        "tenants",
        "Below that number there is no sweep, and an account is opened in microseconds.",
    )
    for tenants in effort.crowded_accounts:
        shares = Shares(tenants, 1, False)
        shares.now += TURN_MS
        for account in shares.accounts:
            shares.ledger.want(account, shares.now, 1.0)
        with unittest.mock.patch.object(ledgers, "MOST_ACCOUNTS", min(tenants, ledgers.MOST_ACCOUNTS)):
            for repeat in range(effort.repeats):
                for number in range(OPENED // effort.repeats):
                    cpu.add(tenants, cpu_ms(shares.open, tenants + repeat * OPENED + number))
    return cpu.slope()
