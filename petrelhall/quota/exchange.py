"""Units lent through the shared counter, where gateways cannot speak: events with the time handed in, calls as values.

Who has units to spare takes them out of its own store and **then** adds them to a number of the counter; who lacks
some takes them from there. A number belongs to one account and one window of time, and the store from which units
came may not fill their place until nobody can spend them any more. The counter is believed in nothing but what others
put into it before, so that whatever becomes of it costs units and makes none:

- lost, split, replaced by an empty one, busy, late, its lines spoilt: what was put in is not served to anyone;
- a call without an answer may have been carried out, or may yet be: what was put in counts as lent, what was to be
  taken as not got;
- nothing is ever put back for another: a number that was overdrawn stays so until its window is over. (Put back on an
  empty counter that took over in between, it would be units that nobody ever owned.)

A number that stands at V, of which u are taken, grants max(0, min(u, V)): so what is granted is at most what was put
in. Gateways cut time by their Unix clocks; that these agree within ``SKEW_MS`` is the one thing that is supposed.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from petrelhall.quota.ledger import Account, Ledger
from petrelhall.quota.shares import MARGIN, SKEW_MS

CALLS = 0.2  # of the requests asked for, that may cost a call
PUT_BY, TAKE_FROM, TAKE_BY = 0.4, 0.45, 0.95  # of a window: what is put in later, or before a look, finds nobody
SLOWEST = 8.0  # windows between two calls that put in, where nobody takes
LOOKS = 3  # puts of which one is looked after, to see whether anyone took it
PART = 0.25  # of the store's part of the burst, that is worth a call
VISITED = 200  # accounts looked at in a turn, in turn
NAMES = 1 << 80  # numbers that no other part of the program uses


@dataclass(slots=True)
class Call:
    """Add so many units to a number: above 0 they are put in, below 0 taken, and 0 only looks."""

    name: int
    amount: float
    expire_ms: float
    account: Account
    window: int
    made: float
    halves: int
    until: float = 0.0  # of what was put in: the loan's end, by which it is found again


@dataclass(slots=True)
class Desk:
    """What goes on for one account."""

    out: Call | None = None
    next_put: float = 0.0
    next_take: float = 0.0
    pause: float = 0.0
    puts: int = 0
    last: Call | None = None  # that put in, where it is to be looked after


class Exchange:
    """One gateway's dealings with the counter."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.random = ledger, random.Random(ledger.random.random())
        self.desks: dict[tuple[int, bool], Desk] = {}
        self.names: dict[int, Call] = {}  # calls that are out
        self.order: list[tuple[int, bool]] = []  # accounts still to be looked at in this round
        self.put = self.taken = 0.0
        self.calls = 0

    def turn(self, now: float) -> list[Call]:
        """Take for those that lack units, and put in what others could use."""
        if self.ledger.frozen:
            return []
        found = []
        for key in list(self.ledger.short):
            account = self.ledger.accounts.get(key)
            if account is not None:
                found += self.take(now, account, self.desk(key))
        if not self.order:
            self.order = list(self.ledger.accounts)
            self.desks = {key: desk for key, desk in self.desks.items() if desk.out or key in self.ledger.accounts}
        some, self.order = self.order[-VISITED:], self.order[:-VISITED]
        for key in some:
            account = self.ledger.accounts.get(key)
            if account is not None and key not in self.ledger.short:
                found += self.give(now, account, self.desk(key))
        return found

    def desk(self, key: tuple[int, bool]) -> Desk:
        """Give the desk of an account."""
        found = self.desks.get(key)
        if found is None:
            found = self.desks[key] = Desk()
        return found

    def window(self, now: float, account: Account) -> tuple[int, float]:
        """Give the number of the window that it is, and its length in ms."""
        length = account.share.terms.window_ms
        return math.floor(now / length), length

    def call(self, now: float, account: Account, desk: Desk, halves: int, amount: float, window: int) -> Call:
        """Make a call."""
        name = NAMES | account.code << 34 | account.ceiling << 33 | window & 0xFFFFFFFF
        life = (SLOWEST + 2.0) * account.share.terms.window_ms  # long enough to be looked after
        desk.out = Call(name, amount, life, account, window, now, halves)
        self.names[name] = desk.out
        self.calls += 1
        return desk.out

    def take(self, now: float, account: Account, desk: Desk) -> list[Call]:
        """Take what is missing, once a window: who finds too little takes all there is."""
        if desk.out is not None or now < desk.next_take:
            return []
        window, length = self.window(now, account)
        part = now / length - window
        if not TAKE_FROM <= part <= TAKE_BY:
            at = window + (part > TAKE_BY) + self.random.uniform(TAKE_FROM, TAKE_BY)  # not all at one moment
            desk.next_take = max(now, at * length)
            return []
        missing = self.ledger.short[account.code, account.ceiling]
        pace = 1000.0 / (CALLS * max(1.0, account.share.demand))
        desk.next_take = max((window + 1 + self.random.uniform(TAKE_FROM, TAKE_BY)) * length, now + pace)
        halves = int(2.0 * max(1.0, min(missing, account.share.terms.burst)))
        return [self.call(now, account, desk, halves, -halves / 2.0, window)]

    def give(self, now: float, account: Account, desk: Desk) -> list[Call]:
        """Put in what can be spared: it is out of the store before the call is made."""
        if desk.out is not None or now < desk.next_put:
            return []
        share = account.share
        window, length = self.window(now, account)
        if desk.last is not None and desk.last.window < window:
            last, desk.last = desk.last, None
            return [self.call(now, account, desk, last.halves, 0.0, last.window)]
        if now / length - window > PUT_BY:
            desk.next_put = (window + 1) * length
            return []
        # Who takes it in this window asks before its end by his clock, and spends for a loan's life from then on.
        until = now + ((window + 1) * length - now + SKEW_MS + share.terms.life_ms) * MARGIN
        least = max(2, int(2.0 * PART * share.terms.burst / share.terms.gateways))
        halves = share.lend(now, least_halves=least, until=until)
        if not halves:
            desk.next_put = now + PUT_BY * length
            return []
        call = self.call(now, account, desk, halves, halves / 2.0, window)
        call.until = until
        return [call]

    def answered(self, now: float, name: int, ok: bool, refused: bool, total: float) -> None:
        """Hear how a call ended: done with this total, ``refused`` (surely nothing was added), or neither."""
        call = self.names.pop(name, None)
        if call is None:
            return
        account, share = call.account, call.account.share
        desk, length = self.desk((account.code, account.ceiling)), share.terms.window_ms
        desk.out = None
        if call.amount < 0.0:
            got = max(0, min(call.halves, math.floor(call.halves + 2.0 * total))) if ok else 0
            if got and share.borrowed(now, call.made, got):
                self.taken += got / 2.0
            if not ok:
                desk.next_take = now + 2.0 * length  # lost, busy or late: it is not pressed
        elif call.amount > 0.0:
            if refused:
                share.take_back(now, call.until, call.halves)
            else:
                self.put += call.halves / 2.0
            desk.puts += 1
            desk.last = call if ok and desk.puts % LOOKS == 0 else None
            desk.pause = max(length, desk.pause) if ok else SLOWEST * length
            desk.next_put = now + desk.pause
        elif ok:
            taken = total < call.halves / 4.0  # at least half of it
            desk.pause = length if taken else min(SLOWEST * length, 2.0 * max(length, desk.pause))
            desk.next_put = now + desk.pause - length
