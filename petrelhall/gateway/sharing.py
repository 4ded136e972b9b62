"""Divides quotas among gateways by ownership: connects the ledger of owned units with peers and the counter.

The decision module asks it for each customer's accounts; messages to peers stay within their share of the peer
message rate.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.decide.state import Customer
from petrelhall.events import Send
from petrelhall.gateway.counter import CounterClient
from petrelhall.gateway.peers import Peers
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address
from petrelhall.operator.settings import Quota as Settings
from petrelhall.quota.exchange import Call, Exchange
from petrelhall.quota.ledger import TURN_MS, Account, Action, Ledger
from petrelhall.quota.shares import Terms
from petrelhall.quota.words import KIND

ACCOUNT_SWEEP_INTERVAL_MS = 5000.0  # between two sweeps of idle accounts
IDLE_ACCOUNT_TTL_MS = 20000.0  # longer than IDLE_CUSTOMER_TTL_MS: the module forgets an idle customer first
UNLIMITED = math.inf  # available units of a plan without a quota or a ceiling
NOT_APPLIED_ENDINGS = {Ending.FULL, Ending.ERROR, Ending.CONNECT_FAILED}  # counter calls that certainly had no effect


class OwnedAccounts:
    """The parts of one customer's quota and ceiling that this gateway owns."""

    __slots__ = ("ledger", "quota", "ceiling")

    def __init__(self, ledger: Ledger, quota: Account | None, ceiling: Account | None) -> None:
        self.ledger, self.quota, self.ceiling = ledger, quota, ceiling

    def available(self, now: float) -> tuple[float, float]:
        """Return the units of the quota and of the ceiling that may be spent now."""
        return (
            self.quota.share.available(now) if self.quota is not None else UNLIMITED,
            self.ceiling.share.available(now) if self.ceiling is not None else UNLIMITED,
        )

    def want(self, now: float, units: float) -> None:
        """Record demand for units, whether or not it can be met."""
        for account in (self.quota, self.ceiling):
            if account is not None:
                self.ledger.want(account, now, units)

    def spend(self, now: float, units: float) -> None:
        """Deduct units that were spent."""
        for account in (self.quota, self.ceiling):
            if account is not None:
                account.share.spend(now, units)

    def fill(self, now: float) -> None:
        """Fill the owned part: all gateways started together, so that nothing had been used before."""
        self.ledger.dawn(now)


class QuotaSharing:
    """One gateway's owned parts of quotas; created only if the operators' file turns ``quota`` on."""

    def __init__(
        self,
        loop: Loop,
        peers: Peers | None,
        settings: Settings,
        platform: api.Settings,
        seed: int,
        is_ready: Callable[[], bool],
        counts: Counts,
        counter: Address | None,
    ) -> None:
        self.loop, self.peers, self.platform, self.is_ready, self.counts = loop, peers, platform, is_ready, counts
        now = now_ms()
        # The rate of sent messages bounds received ones too: each message goes to exactly one gateway.
        messages_per_s = settings.share * platform.peer_messages_per_s if peers is not None else 0.0
        self.ledger = Ledger(platform.position, max(1, math.floor(now / 10.0) & 0xFFFFFFFF), messages_per_s, seed, now)
        self.swept_at = now
        uses_counter = settings.counter == "always" or (settings.counter == "alone" and peers is None)
        self.exchange = Exchange(self.ledger) if uses_counter and counter is not None else None
        self.counter: CounterClient | None = None
        if counter is not None:
            self.set_counter_address(counter)
        if peers is not None:
            peers.datagram_handlers[KIND] = self.on_message
        self.started = self.ended = False
        loop.after(TURN_MS, self.tick)

    def account(self, customer: Customer, now: float) -> OwnedAccounts | None:
        """Return the owned part of a customer's quota; None if costs are known only after a request.

        The customer's token buckets in the decision module decide then.
        """
        plan = customer.plan
        if self.platform.cost_after:
            return None
        others = customer.other_gateways(self.platform.position, self.platform.gateways)
        if self.peers is None:
            others = ()
        set_size = max(1, min(customer.set_size, self.platform.gateways))
        accounts: list[Account | None] = []
        for rate, burst, ceiling in ((plan.rate, plan.burst, False), (plan.ceiling_rate, plan.ceiling_burst, True)):
            terms = Terms(rate, burst, set_size, self.exchange is not None)
            accounts.append(self.ledger.account(customer.code, ceiling, terms, others, now) if rate > 0.0 else None)
        return OwnedAccounts(self.ledger, accounts[0], accounts[1])

    def tick(self) -> None:
        """Let the ledger and the exchange ask for units and lend them; drop idle accounts."""
        if self.ended:
            return
        self.loop.after(TURN_MS, self.tick)
        now = now_ms()
        if not self.started and self.is_ready():
            self.started = True  # during an upgrade the old process owns the units until it sees this one ready
            self.ledger.begin(now)
        if self.exchange is not None:  # first: for accounts still short of units, the ledger then asks the peers too
            self.call_counter(self.exchange.turn(now))
        self.carry_out(self.ledger.turn(now))
        if now - self.swept_at >= ACCOUNT_SWEEP_INTERVAL_MS:
            self.swept_at = now
            self.ledger.forget(now, IDLE_ACCOUNT_TTL_MS)

    def on_message(self, number: int, content: bytes) -> None:
        """Pass a message from another gateway to the ledger."""
        self.carry_out(self.ledger.heard(now_ms(), number, content))

    def carry_out(self, actions: list[Action]) -> None:
        """Carry out the ledger's actions: send messages, and count dropped ones."""
        for action in actions:
            if isinstance(action, Send):
                if self.peers is not None:
                    self.peers.send(action.content, (action.to,))
                    self.counts.add("quota", "words")
            else:
                self.counts.add("quota", f"dropped_{action.reason}")

    def set_counter_address(self, counter: Address) -> None:
        """Use the counter at this address from now on; replies to calls made to the previous one are still received."""
        if self.exchange is None or (self.counter is not None and self.counter.address == counter):
            return
        if self.counter is not None:
            self.counter.retire()
        self.counter = CounterClient(
            self.loop, counter, self.platform.counter_wait_ms, self.on_counter_reply, self.counts
        )

    def call_counter(self, calls: list[Call]) -> None:
        """Send calls to the counter."""
        for call in calls:
            assert self.counter is not None
            self.counter.add(call.name, call.amount, call.expire_ms)

    def on_counter_reply(self, reply: api.CounterReply) -> None:
        """Pass the result of a counter call to the exchange."""
        if self.exchange is not None:
            ending = reply.ending
            self.exchange.answered(
                now_ms(), reply.name, ending is Ending.OK, ending in NOT_APPLIED_ENDINGS, reply.total
            )

    def hand_over(self) -> None:
        """Stop refilling and lending: a newer process now owns this gateway's part."""
        self.ledger.freeze(now_ms())
        self.ended = True

    def view(self) -> dict[str, Any]:
        """Return the state for ``GET /control/quota``; units are totals since the start."""
        exchange = self.exchange
        return {
            "accounts": len(self.ledger.accounts),
            "lent": self.ledger.lent,
            "borrowed": self.ledger.borrowed,
            "put": exchange.put if exchange else 0.0,
            "taken": exchange.taken if exchange else 0.0,
            "counter_calls": exchange.calls if exchange else 0,
        }
