"""One gateway's share of one quota or ceiling: what it owns, has lent and has borrowed. No clock: times are handed in.

The rule that holds whatever the network does: of a store of ``burst`` units filled at ``rate``, each of n gateways owns
burst / n filled at rate / n. A loan is taken out of the lender's store before it is told, and the lender's store stays
that much smaller until the loan's life is surely over: so all stores and all loans together never hold more than
``burst``. The borrower counts the life from its own ask, which came before the loan was made, and the lender waits
``MARGIN`` longer than that, so that clocks which run ``RHO`` apart cannot make them overlap. A loan that is lost on its
way is lost, and nothing was ever there twice.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass, field

RHO = 0.01  # by which the rate of a gateway's monotonic clock may be wrong, either way
MARGIN = 1.03  # > (1 + RHO) / (1 - RHO)
LIFE_MS, LIFE_SHARE = 1000.0, 0.5  # of a loan at most; of the time in which a store fills
WINDOW_SHARE = 0.5  # of a loan's life, for which units put into the counter can be taken
SKEW_MS = 250.0  # by which the Unix clocks of gateways that share a counter may differ
DEMAND_MS = 700.0  # in which what was asked for loses two thirds of its weight
LEAST_HALVES = 2  # of a loan, unless less is wanted
MOST_LOANS = 64  # kept at a time; more are not made


@dataclass(frozen=True, slots=True)
class Terms:
    """What all gateways of a set hold together: units a second, units, among how many, and if the counter lends."""

    rate: float
    burst: float
    gateways: int
    counter: bool = False

    @property
    def life_ms(self) -> float:
        """Give the life of a loan: never so long that what is lent on could not have been filled by then."""
        return min(LIFE_MS, LIFE_SHARE * 1000.0 * self.burst / self.rate) if self.rate > 0 else LIFE_MS

    @property
    def window_ms(self) -> float:
        """Give how long a number of the counter can be taken from."""
        return WINDOW_SHARE * self.life_ms

    @property
    def hold_ms(self) -> float:
        """Give the longest time for which what a gateway lent, in whatever way, may still be spent by others."""
        return MARGIN * (self.life_ms + (self.window_ms + SKEW_MS) * self.counter)


@dataclass(slots=True)
class Share:
    """One gateway's part. ``born`` is when its process began (ms): what the life before lent is not known."""

    terms: Terms
    born: float
    now: float
    store: float = 0.0
    filled: float = 0.0
    lent: deque[tuple[float, float]] = field(default_factory=deque)  # until when, units; the oldest first
    held: deque[tuple[float, float]] = field(default_factory=deque)  # borrowed: until when, units
    demand: float = 0.0  # units a second that are asked for here, lately

    def __post_init__(self) -> None:
        """Own what has surely filled since any loan of an earlier life is over, or the store is full."""
        owning = self.born + self.terms.hold_ms
        self.filled = max(self.now, owning)
        if self.now > owning:
            self.store = min(self.most, self.terms.rate / self.terms.gateways * (self.now - owning) / 1000.0)

    @property
    def most(self) -> float:
        """Give what the store may hold: its part of the burst, less what is lent."""
        return self.terms.burst / self.terms.gateways - sum(units for _, units in self.lent)

    def turn(self, now: float) -> None:
        """Bring everything up to now: loans that are over, then the fill, and only then is anything decided."""
        while self.lent and self.lent[0][0] <= now:
            self.grow(self.lent[0][0])  # up to there the store was smaller by what was lent
            self.lent.popleft()
        while self.held and self.held[0][0] <= now:
            self.held.popleft()
        self.grow(now)
        if now > self.now:
            self.demand *= max(0.0, 1.0 - (now - self.now) / DEMAND_MS)
            self.now = now

    def grow(self, now: float) -> None:
        """Fill the store for the time since it was last filled."""
        if now > self.filled:
            grown = self.store + self.terms.rate / self.terms.gateways * (now - self.filled) / 1000.0
            self.store, self.filled = min(self.most, grown), now

    def begin(self, now: float) -> None:
        """Begin again, at the moment from which this process is the gateway."""
        self.store, self.filled = 0.0, now + self.terms.hold_ms

    def change(self, terms: Terms, now: float) -> None:
        """Go on under other terms: a smaller burst cuts the store, a larger one fills it no faster than the rate.

        What is lent and held keeps its life: the longer of two holds it out of the store.
        """
        self.turn(now)
        self.terms = terms
        self.store = min(self.store, max(0.0, self.most))

    def dawn(self, now: float) -> None:
        """Own the whole part at once: no earlier process of this gateway owes any of it."""
        self.turn(now)
        spent = max(0.0, -self.store)
        self.store, self.filled = self.most - spent, now

    def freeze(self, now: float, empty: bool = False) -> None:
        """Grow no more; ``empty``: what would be there is another process's as well."""
        self.turn(now)
        self.filled = float("inf")
        self.store = min(self.store, 0.0) if empty else self.store

    def available(self, now: float) -> float:
        """Give what may be spent at this moment."""
        self.turn(now)
        return self.store + sum(units for _, units in self.held)

    def asked(self, now: float, units: float) -> None:
        """Take note that units are asked for."""
        self.turn(now)
        self.demand += units * 1000.0 / DEMAND_MS

    def spend(self, now: float, units: float) -> None:
        """Spend: what was borrowed first, the soonest over before the others."""
        self.turn(now)
        while units > 0.0 and self.held:
            until, some = self.held[0]
            used = min(units, some)
            units -= used
            if used < some:
                self.held[0] = until, some - used
            else:
                self.held.popleft()
        self.store -= units

    def lend(
        self, now: float, halves: int | None = None, least_halves: int = LEAST_HALVES, until: float | None = None
    ) -> int:
        """Take out what can be spared (of what another wants), and give it in half units: before it is told.

        ``until``: when it is surely over, where that is not a loan's life and margin from now. Less than a unit is
        not worth a word: it is there when it has become one.
        """
        self.turn(now)
        keep = self.demand * self.terms.life_ms / 1000.0
        spare = int(2.0 * (self.store - keep))
        if halves is not None:
            spare, least_halves = min(halves, spare), min(halves, least_halves)
        if spare < least_halves or spare <= 0 or len(self.lent) >= MOST_LOANS:
            return 0
        self.store -= spare / 2.0
        insort(self.lent, (now + self.terms.life_ms * MARGIN if until is None else until, spare / 2.0))
        return spare

    def take_back(self, now: float, until: float, halves: int) -> None:
        """Have a loan back that surely never left; one that is over has had its place filled already."""
        self.turn(now)
        if (until, halves / 2.0) in self.lent:
            self.lent.remove((until, halves / 2.0))
            self.store = min(self.most, self.store + halves / 2.0)

    def borrowed(self, now: float, asked_at: float, halves: int) -> bool:
        """Take in a loan that answers an ask of this time; one that is over already is not taken."""
        until = asked_at + self.terms.life_ms
        if until <= now or halves <= 0:
            return False
        # Kept in the order of their ends: the answers to two asks may come in any order.
        place = sum(end <= until for end, _ in self.held)
        self.held.insert(place, (until, halves / 2.0))
        return True
