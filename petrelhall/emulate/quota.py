"""Owned shares in simulated time: every sequence of troubles of three gateways and one district, and large fleets.

What is spent is counted by ``standins.meter``, one store for all, which shares no code with what it judges.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from petrelhall.emulate.search import Found, search
from petrelhall.events import Send
from petrelhall.quota.bound import bounds
from petrelhall.quota.ledger import TURN_MS, Account, Action, Ledger
from petrelhall.quota.shares import RHO, Share, Terms
from petrelhall.standins.meter import Meter, Store

CODE = 7
TERMS = Terms(rate=8.0, burst=12.0, gateways=3)
STEP_MS = 400.0  # of a turn of the search: a loan of these terms lives for 750 ms


@dataclass(frozen=True)
class Turn:
    """What a turn of the search brings."""

    name: str
    carry: str = "well"  # messages: well, lost, late (by a turn), twice, or "cut" between one gateway and the others
    alone: int = 0  # for "cut"
    spend: tuple[int, ...] = ()  # who spends all it may at the turn's begin; the others hoard
    want: tuple[int, ...] = (0, 1, 2)  # who asks for much
    stopped: int | None = None
    started: int | None = None  # killed and back at once, empty
    dawn: bool = False


TURNS = [
    *(
        Turn(f"{carry}, {spend} spend", carry, 0, spend, want)
        for carry in ("well", "lost", "late", "twice", "cut")
        for spend, want in (((), (0,)), ((0,), (0,)), ((0, 1, 2), (0, 1, 2)), ((1,), (1, 2)))
    ),
    *(Turn(f"{number} starts anew", started=number, spend=(1,)) for number in range(3)),
    *(
        Turn(f"{number} stopped", stopped=number, spend=((number + 1) % 3,), want=((number + 1) % 3,))
        for number in range(3)
    ),
]


@dataclass
class Books:
    """Gateways' accounts of one district and clocks of their own, beside one store for all that judges them."""

    now: float = 0.0
    lives: int = 0
    accounts: dict[int, Account] = field(default_factory=dict)
    clocks: dict[int, tuple[float, float]] = field(default_factory=dict)  # rate, and what it showed at 0
    store: Store = field(default_factory=lambda: Store(TERMS.rate * (1.0 + RHO), TERMS.burst))

    def clock(self, number: int) -> float:
        """Give what a gateway's clock shows: they run apart by the most that is allowed."""
        rate, begin = self.clocks[number]
        return begin + rate * self.now

    def spend(self, number: int) -> None:
        """Spend all that a gateway may."""
        share, now = self.accounts[number].share, self.clock(number)
        units = share.available(now)
        if units > 0.0:
            share.spend(now, units)
            self.store.use(self.now / 1000.0, units)

    def excess(self) -> str:
        """Tell by how much the quota is passed should everyone spend all at this moment."""
        for number in range(3):
            self.spend(number)
        return f"{self.store.beyond:.2f} units beyond" if self.store.beyond > 1e-6 else ""


@dataclass
class World(Books):
    """One state of the search; copied by pickling it."""

    kind: type[Share] = Share
    ledgers: dict[int, Ledger] = field(default_factory=dict)
    late: list[tuple[int, int, bytes]] = field(default_factory=list)  # on their ways: receiver, sender, content
    held: dict[int, list[tuple[int, bytes]]] = field(default_factory=dict)  # before a stopped gateway

    def start(self, number: int, long_ago: bool = False) -> None:
        """Start a gateway."""
        self.lives += 1
        self.clocks[number] = (1.0 - RHO, 1.0, 1.0 + RHO)[number], 1e6 * self.lives
        now = self.clock(number)
        ledger = self.ledgers[number] = Ledger(number, self.lives, 100.0, number, now - 1e5 * long_ago)
        others = tuple(other for other in range(3) if other != number)
        account = self.accounts[number] = ledger.account(CODE, False, TERMS, others, now)
        if self.kind is not Share:
            account.share = self.kind(TERMS, ledger.born, now)

    def take(self, turn: Turn) -> None:
        """Let a turn pass, in four steps of the ledgers."""
        if turn.started is not None:
            self.held.pop(turn.started, None)
            self.start(turn.started)
        came, self.late = self.late, []
        for receiver, sender, content in came:
            self.give(receiver, sender, content, turn)
        for number in [number for number in self.held if number != turn.stopped]:
            for sender, content in self.held.pop(number):
                self.give(number, sender, content, turn)
        for number in turn.spend:
            if number != turn.stopped:
                self.spend(number)
        for _ in range(4):
            self.now += STEP_MS / 4.0
            for number, ledger in self.ledgers.items():
                if number != turn.stopped:
                    if number in turn.want:
                        ledger.want(self.accounts[number], self.clock(number), TERMS.burst)
                    self.carry(number, list(ledger.turn(self.clock(number))), turn)

    def carry(self, sender: int, actions: list[Action], turn: Turn) -> None:
        """Take what a ledger sends on its way."""
        for action in actions:
            if not isinstance(action, Send) or turn.carry == "lost":
                continue
            if turn.carry == "cut" and turn.alone in (sender, action.to):
                continue
            if turn.carry in ("late", "twice"):
                self.late.append((action.to, sender, action.content))
            if turn.carry != "late":
                self.give(action.to, sender, action.content, turn)

    def give(self, receiver: int, sender: int, content: bytes, turn: Turn) -> None:
        """Have a word arrive."""
        if receiver == turn.stopped:
            self.held.setdefault(receiver, []).append((sender, content))
        else:
            self.carry(receiver, self.ledgers[receiver].heard(self.clock(receiver), sender, content), turn)

    def key(self) -> object:
        """Give what the future depends on."""

        def near(value: float) -> float:
            return round(value, 2)

        rows = []
        for number, account in sorted(self.accounts.items()):
            share, now = account.share, self.clock(number)
            rows.append(
                (
                    near(share.store),
                    near(now - share.filled),
                    near(now - account.next_ask),
                    tuple((near(until - now), units) for until, units in share.lent),
                    tuple((near(until - now), units) for until, units in share.held),
                )
            )
        return (
            tuple(rows),
            near(self.store.level),
            near(self.now - 1000.0 * self.store.at),
            tuple((receiver, sender) for receiver, sender, _ in self.late),
            tuple(self.held),
        )


def explore(depth: int, kind: type[Share] = Share) -> Found:
    """Play every sequence of so many turns from full stores."""
    world = World(kind=kind)
    for number in range(3):
        world.start(number, long_ago=True)
    return search(world, TURNS, depth, World.excess)


# Large fleets


@dataclass(frozen=True)
class Fleet:
    """What came of a play of many gateways and districts."""

    served_share: float  # of what an all-knowing quota would have served
    worst_beyond: float
    stated_beyond: float
    words_per_s: float  # of one gateway


def fleet(
    gateways: int,
    districts: int,
    spread: int,
    seconds: float,
    seed: int,
    lend: bool = True,
    loss: float = 0.0,
    split: bool = False,
    rate: float = 4.0,
    burst: float = 12.0,
    words_per_s: float = 30.0,
) -> Fleet:
    """Play Poisson demand of 1.5 times the quota, nine tenths of it at one gateway of each district's set."""
    draw = random.Random(seed)
    terms = Terms(rate, burst, spread)
    ledgers = [Ledger(number, number + 1, words_per_s, seed + number, -1e6) for number in range(gateways)]
    meter, ideal, asked = Meter(rate * (1.0 + RHO), burst), Meter(rate, burst), 0.0
    first = [draw.randrange(gateways) for _ in range(districts)]
    sent, now, served, best = 0, 0.0, 0, 0
    cut: Callable[[int, int], bool] = (lambda one, other: one % 2 != other % 2) if split else (lambda one, other: False)
    while now < seconds * 1000.0:
        now += TURN_MS
        for district in range(districts):
            count = sum(draw.random() < 1.5 * rate * TURN_MS / 1000.0 / 4 for _ in range(4))
            for _ in range(count):
                asked += 1
                store = ideal.store(district, now / 1000.0)
                if store.fill(now / 1000.0) >= 1.0:
                    store.use(now / 1000.0, 1.0)
                    best += 1
                place = 0 if draw.random() < 0.9 else draw.randrange(spread)
                number = (first[district] + place) % gateways
                others = tuple((first[district] + step) % gateways for step in range(spread) if step != place)
                account = ledgers[number].account(district, False, terms, others if lend else (), now)
                if lend:  # the others of the set have met the district too
                    for step in range(spread):
                        other = (first[district] + step) % gateways
                        ledgers[other].account(
                            district,
                            False,
                            terms,
                            tuple((first[district] + far) % gateways for far in range(spread) if far != step),
                            now,
                        )
                ledgers[number].want(account, now, 1.0)
                if account.share.available(now) >= 1.0:
                    account.share.spend(now, 1.0)
                    meter.use(district, now / 1000.0)
                    served += 1
        for number, ledger in enumerate(ledgers if lend else ()):
            waiting = [(number, action) for action in ledger.turn(now)]
            while waiting:
                sender, action = waiting.pop()
                if isinstance(action, Send):
                    sent += 1
                    if draw.random() >= loss and not cut(sender, action.to):
                        waiting += [(action.to, more) for more in ledgers[action.to].heard(now, sender, action.content)]
    stated = bounds(terms, seconds, 0.0)[0].beyond
    return Fleet(served / max(1, best), meter.worst(), stated, sent / seconds / gateways)
