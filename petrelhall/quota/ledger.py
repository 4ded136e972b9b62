"""All shares of one gateway, and what it asks and lends: events with the time handed in, actions as values.

Who runs short asks others of the district's set for what its demand needs over a loan's life, a few at a time, and
waits longer where nobody had anything to spare. An ask names the process and carries a number that is used once: a
loan that comes twice, late, for an earlier process or for nothing asked is dropped. Whether earlier loans arrived is
seen from the asks that follow: who asks on without having got what was lent is cut off one way, and gets no more for a
while, or one cut link would drain a lender.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from petrelhall.events import Dropped, Send
from petrelhall.quota import words
from petrelhall.quota.shares import LIFE_MS, Share, Terms
from petrelhall.quota.words import Entry, Word

TURN_MS, WORD_MS = 50.0, 100.0  # between two turns; between two words to one gateway
ASK_MS, PATIENCE_MS = 100.0, 1600.0  # between two asks for one account after a loan; at most, where none comes
STAND = 1.0 / 3.0  # of a loan's life for which an ask stands: the lender gives when it has something
ASKED_AT_ONCE = 3  # gateways of a set
LEAST = 1.0  # units worth an ask
ARRIVE_MS = 700.0  # after which a loan that its borrower does not know of seems lost
TRUST_MS, TRUST_MOST_MS = 1000.0, 16000.0  # for which nothing is lent then; at most, where it goes on
MOST_ACCOUNTS = 20000


Action = Send[int] | Dropped


@dataclass(slots=True)
class Dealing:
    """What went on with one process of another gateway."""

    life: int
    asked: int = 0  # number of its last ask
    lent: int = 0  # number of the last ask that a loan answered, until that is seen to have arrived; 0 for none
    lent_at: float = 0.0
    until: float = 0.0  # nothing is lent before
    pause: float = TRUST_MS


@dataclass(slots=True)
class Account:
    """A share as the ledger keeps it."""

    code: int
    ceiling: bool
    share: Share
    others: tuple[int, ...]  # of the set
    round: list[int] = field(default_factory=list)  # still to be asked
    next_ask: float = 0.0
    pause: float = 0.0
    waiting: dict[int, tuple[Dealing, Entry, float]] = field(default_factory=dict)  # asks that stand, by gateway
    asked: dict[tuple[int, int], float] = field(default_factory=dict)  # when, by gateway and number of the ask


class Ledger:
    """One gateway's shares."""

    def __init__(self, number: int, life: int, words_per_s: float, seed: int, now: float) -> None:
        self.number, self.life, self.per_s, self.born = number, life & 0xFFFFFFFF, words_per_s, now
        self.random = random.Random(seed)
        self.accounts: dict[tuple[int, bool], Account] = {}
        self.short: dict[tuple[int, bool], float] = {}  # accounts that lack units: how many
        self.pending: dict[tuple[int, bool], Account] = {}  # with asks that stand
        self.asks: dict[int, list[Entry]] = {}  # to be sent, by gateway
        self.loans: dict[tuple[int, int], list[Entry]] = {}  # by gateway and its life
        self.nonce = 0
        self.room, self.room_at = 1.0, now  # words that may be sent now
        self.spoke: dict[int, float] = {}  # by gateway: when it was last told anything
        self.dealings: dict[int, Dealing] = {}  # by gateway
        self.got: dict[int, int] = {}  # by gateway: number of the last ask that a loan answered
        self.reachable: Callable[[int], bool] | None = None  # who is worth asking; all where it is not known
        self.lent = self.borrowed = 0.0
        self.frozen = False  # a newer process of this gateway owns its part: nothing grows here any more
        self.actions: deque[Action] = deque()

    def account(self, code: int, ceiling: bool, terms: Terms, others: tuple[int, ...], now: float) -> Account:
        """Open an account, or give the one that is open."""
        key = code, ceiling
        found = self.accounts.get(key)
        if found is not None and found.share.terms != terms:
            found.share.change(terms, now)
            found.others = others
        if found is None:
            if len(self.accounts) >= MOST_ACCOUNTS:
                self.forget(now, 0.0)
            found = self.accounts[key] = Account(code, ceiling, Share(terms, self.born, now), others)
            if self.frozen:
                found.share.freeze(now, True)
        return found

    def forget(self, now: float, idle_ms: float) -> None:
        """Drop accounts that owe and hold nothing: their stores are as those of a new account would be."""
        for key, account in list(self.accounts.items()):
            share = account.share
            full_ms = 1000.0 * share.terms.burst / max(1e-9, share.terms.rate)
            if now - share.now >= max(idle_ms, full_ms, 2.0 * LIFE_MS):
                del self.accounts[key]
                self.short.pop(key, None)

    def begin(self, now: float) -> None:
        """Own nothing until whatever an earlier process of this gateway lent, or still owns, is over."""
        if self.born > -math.inf:
            self.born = now
            for account in self.accounts.values():
                account.share.begin(now)

    def dawn(self, now: float) -> None:
        """All gateways began together, and so did every quota: no process before this one lent anything."""
        if self.born > -math.inf and not self.frozen:
            self.born = -math.inf
            for account in self.accounts.values():
                account.share.dawn(now)

    def freeze(self, now: float) -> None:
        """Own from now on only what is there: the fill is a newer process's."""
        self.frozen = True
        for account in self.accounts.values():
            account.share.freeze(now)

    # Spending

    def want(self, account: Account, now: float, units: float) -> None:
        """Take note of demand, and of what is missing for what comes over a loan's life."""
        share = account.share
        share.asked(now, units)
        life_s = share.terms.life_ms / 1000.0
        coming = share.demand * life_s - share.terms.rate / share.terms.gateways * life_s
        missing = max(units, min(coming, share.terms.burst)) - share.available(now)
        if missing >= LEAST or share.available(now) < units:
            self.short[account.code, account.ceiling] = max(LEAST, missing)

    # Turns

    def turn(self, now: float) -> list[Action]:
        """Ask for what is missing, and send what is to be said, within the words that may go."""
        self.actions.clear()
        self.room = min(max(2.0, self.per_s / 4.0), self.room + (now - self.room_at) * self.per_s / 1000.0)
        self.room_at = now
        if not self.frozen:
            for key, missing in list(self.short.items()):
                account = self.accounts.get(key)
                if account is None or now >= account.next_ask:
                    del self.short[key]
                    if account is not None:
                        self.ask(account, missing, now)
            for account in list(self.pending.values()):
                self.serve(account, now)
        for to, life in list(self.loans):
            self.flush(now, to, life)
        for to in list(self.asks):
            self.flush(now, to, 0)
        return list(self.actions)

    def ask(self, account: Account, missing: float, now: float) -> None:
        """Ask some of the set, others each time."""
        if not account.round:
            account.round = [number for number in account.others if self.reachable is None or self.reachable(number)]
            self.random.shuffle(account.round)
        some = [account.round.pop() for _ in range(min(ASKED_AT_ONCE, len(account.round)))]
        stands = max(ASK_MS, STAND * account.share.terms.life_ms)
        account.pause = min(max(stands, PATIENCE_MS), max(stands, 1.5 * account.pause))  # until a loan comes
        account.next_ask = now + account.pause
        halves = min(words.MOST_HALVES, int(2.0 * missing / max(1, len(some))) + 1)
        life_ms = account.share.terms.life_ms
        account.asked = {key: at for key, at in account.asked.items() if now - at < life_ms}
        for number in some:
            self.nonce = self.nonce % 0xFFFF + 1
            account.asked[number, self.nonce] = now
            self.asks.setdefault(number, []).append(Entry(account.code, self.nonce, halves, account.ceiling))

    def flush(self, now: float, to: int, life: int) -> None:
        """Send one word to a gateway: loans for its process, and asks in the room that is left."""
        if self.room < 1.0 or now - self.spoke.get(to, -math.inf) < WORD_MS:
            return
        loans = self.loans.pop((to, life), []) if life else []
        asks = self.asks.pop(to, [])
        if not loans and not asks:
            return
        self.room -= 1.0
        self.spoke[to] = now
        rest = words.ROOM - len(loans[: words.ROOM])
        if asks[rest:]:
            self.asks[to] = asks[rest:]
        if loans[words.ROOM :]:
            self.loans[to, life] = loans[words.ROOM :]
        self.actions.append(
            Send(
                to,
                words.encode(
                    Word(self.life, life, self.got.get(to, 0), tuple(asks[:rest]), tuple(loans[: words.ROOM]))
                ),
            )
        )

    # Hearing

    def heard(self, now: float, sender: int, content: bytes) -> list[Action]:
        """Take in a word."""
        self.actions.clear()
        word = words.decode(content)
        if word is None:
            return [Dropped("spoilt")]
        if word.loans and word.to != self.life:
            self.actions.append(Dropped("other_life"))
        else:
            for entry in word.loans:
                self.on_loan(now, sender, entry)
        dealing = self.dealings.get(sender)
        if dealing is None or dealing.life != word.life:
            dealing = self.dealings[sender] = Dealing(word.life)
        if dealing.lent and not words.after(dealing.lent, word.got) and word.got:
            dealing.lent, dealing.pause = 0, TRUST_MS
        elif dealing.lent and now - dealing.lent_at > ARRIVE_MS:
            dealing.lent, dealing.until = 0, now + dealing.pause
            dealing.pause = min(TRUST_MOST_MS, 2.0 * dealing.pause)
        if not self.frozen:
            for entry in word.asks:
                self.on_ask(now, sender, dealing, entry)
        return list(self.actions)

    def on_loan(self, now: float, sender: int, entry: Entry) -> None:
        """Take a loan in, where it answers the last ask."""
        account = self.accounts.get((entry.code, entry.ceiling))
        asked_at = account.asked.pop((sender, entry.nonce), None) if account is not None else None
        if account is None or asked_at is None:
            self.actions.append(Dropped("unasked"))
            return
        self.got[sender] = entry.nonce
        if not account.share.borrowed(now, asked_at, entry.halves):
            self.actions.append(Dropped("over"))
            return
        self.borrowed += entry.halves / 2.0
        account.pause, account.next_ask = 0.0, min(account.next_ask, now + ASK_MS)

    def on_ask(self, now: float, sender: int, dealing: Dealing, entry: Entry) -> None:
        """Lend what can be spared, to each ask once."""
        if dealing.asked and not words.after(entry.nonce, dealing.asked):
            self.actions.append(Dropped("repeated"))
            return
        dealing.asked = entry.nonce
        account = self.accounts.get((entry.code, entry.ceiling))
        if account is None or sender not in account.others or now < dealing.until:
            return
        account.waiting[sender] = dealing, entry, now + STAND * account.share.terms.life_ms
        self.pending[entry.code, entry.ceiling] = account
        self.serve(account, now)

    def serve(self, account: Account, now: float) -> None:
        """Lend to those whose asks stand."""
        for sender, (dealing, entry, until) in list(account.waiting.items()):
            if now > until or now < dealing.until:
                del account.waiting[sender]
                continue
            halves = account.share.lend(now, entry.halves)
            if halves:
                del account.waiting[sender]
                if not dealing.lent:
                    dealing.lent_at = now
                dealing.lent = entry.nonce
                self.lent += halves / 2.0
                self.loans.setdefault((sender, dealing.life), []).append(
                    Entry(entry.code, entry.nonce, halves, entry.ceiling)
                )
        if not account.waiting:
            self.pending.pop((account.code, account.ceiling), None)
