"""Carries out owned shares on sockets: the module's customers get accounts, words go out within their budget."""

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

ACCOUNT_SWEEP_INTERVAL_MS = 5000.0  # between two sweeps
IDLE_ACCOUNT_TTL_MS = (
    20000.0  # of accounts that are dropped: the module has let go of their customers before (IDLE_CUSTOMER_TTL_MS)
)
NONE = math.inf  # of a plan without a quota or a ceiling
UNADDED = {Ending.FULL, Ending.ERROR, Ending.CONNECT_FAILED}  # calls of which surely nothing came


class OwnedAccounts:
    """What this gateway owns of one customer."""

    __slots__ = ("ledger", "quota", "ceiling")

    def __init__(self, ledger: Ledger, quota: Account | None, ceiling: Account | None) -> None:
        self.ledger, self.quota, self.ceiling = ledger, quota, ceiling

    def available(self, now: float) -> tuple[float, float]:
        """Give the units of the quota and of the ceiling that may be spent now."""
        return (
            self.quota.share.available(now) if self.quota is not None else NONE,
            self.ceiling.share.available(now) if self.ceiling is not None else NONE,
        )

    def want(self, now: float, units: float) -> None:
        """Hear that units are asked for."""
        for account in (self.quota, self.ceiling):
            if account is not None:
                self.ledger.want(account, now, units)

    def spend(self, now: float, units: float) -> None:
        """Book units as spent."""
        for account in (self.quota, self.ceiling):
            if account is not None:
                account.share.spend(now, units)

    def fill(self, now: float) -> None:
        """All gateways began together: what is owned is there in full."""
        self.ledger.dawn(now)


class QuotaSharing:
    """One gateway's shares; not there where the operators' file does not ask for them."""

    def __init__(
        self,
        loop: Loop,
        peers: Peers | None,
        settings: Settings,
        platform: api.Settings,
        seed: int,
        ready: Callable[[], bool],
        counts: Counts,
        counter: Address | None,
    ) -> None:
        self.loop, self.peers, self.platform, self.ready, self.counts = loop, peers, platform, ready, counts
        now = now_ms()
        # As much comes in as goes out: every word of one gateway is taken in by one other.
        per_s = settings.share * platform.peer_messages_per_s if peers is not None else 0.0
        self.ledger = Ledger(platform.position, max(1, math.floor(now / 10.0) & 0xFFFFFFFF), per_s, seed, now)
        self.swept = now
        wanted = settings.counter == "always" or (settings.counter == "alone" and peers is None)
        self.exchange = Exchange(self.ledger) if wanted and counter is not None else None
        self.counter: CounterClient | None = None
        if counter is not None:
            self.set_counter_address(counter)
        if peers is not None:
            peers.datagram_handlers[KIND] = self.heard
        self.begun = self.ended = False
        loop.after(TURN_MS, self.turn)

    def account(self, customer: Customer, now: float) -> OwnedAccounts | None:
        """Give what is owned of a customer; plans whose cost is known only afterwards keep the module's stores."""
        plan = customer.plan
        if self.platform.cost_after:
            return None
        others = customer.other_gateways(self.platform.position, self.platform.gateways)
        if self.peers is None:
            others = ()
        size = max(1, min(customer.set_size, self.platform.gateways))
        accounts: list[Account | None] = []
        for rate, burst, ceiling in ((plan.rate, plan.burst, False), (plan.ceiling_rate, plan.ceiling_burst, True)):
            terms = Terms(rate, burst, size, self.exchange is not None)
            accounts.append(self.ledger.account(customer.code, ceiling, terms, others, now) if rate > 0.0 else None)
        return OwnedAccounts(self.ledger, accounts[0], accounts[1])

    def turn(self) -> None:
        """Ask and lend."""
        if self.ended:
            return
        self.loop.after(TURN_MS, self.turn)
        now = now_ms()
        if not self.begun and self.ready():
            self.begun = True  # an upgrade's old process has its part until it sees that this one is ready
            self.ledger.begin(now)
        if self.exchange is not None:  # first: who is short is then asked about among the others as well
            self.ask(self.exchange.turn(now))
        self.act(self.ledger.turn(now))
        if now - self.swept >= ACCOUNT_SWEEP_INTERVAL_MS:
            self.swept = now
            self.ledger.forget(now, IDLE_ACCOUNT_TTL_MS)

    def heard(self, number: int, content: bytes) -> None:
        """Take in a word."""
        self.act(self.ledger.heard(now_ms(), number, content))

    def act(self, actions: list[Action]) -> None:
        """Do as the core says."""
        for action in actions:
            if isinstance(action, Send):
                if self.peers is not None:
                    self.peers.send(action.content, (action.to,))
                    self.counts.add("quota", "words")
            else:
                self.counts.add("quota", f"dropped_{action.why}")

    def set_counter_address(self, counter: Address) -> None:
        """Call the counter at this address from now on; what is asked of another is still heard."""
        if self.exchange is None or (self.counter is not None and self.counter.address == counter):
            return
        if self.counter is not None:
            self.counter.retire()
        self.counter = CounterClient(
            self.loop, counter, self.platform.counter_wait_ms, self.on_counter_reply, self.counts
        )

    def ask(self, calls: list[Call]) -> None:
        """Make calls to the counter."""
        for call in calls:
            assert self.counter is not None
            self.counter.add(call.name, call.amount, call.expire_ms)

    def on_counter_reply(self, reply: api.CounterReply) -> None:
        """Hear how a call ended."""
        if self.exchange is not None:
            ending = reply.ending
            self.exchange.answered(now_ms(), reply.name, ending is Ending.OK, ending in UNADDED, reply.total)

    def hand_over(self) -> None:
        """A newer process owns this gateway's part from now on: nothing grows here any more, nothing is lent."""
        self.ledger.freeze(now_ms())
        self.ended = True

    def view(self) -> dict[str, Any]:
        """Give the state for operators, for ``GET /control/quota``; units since the start."""
        held = self.exchange
        return {
            "accounts": len(self.ledger.accounts),
            "lent": self.ledger.lent,
            "borrowed": self.ledger.borrowed,
            "put": held.put if held else 0.0,
            "taken": held.taken if held else 0.0,
            "counter_calls": held.calls if held else 0,
        }
