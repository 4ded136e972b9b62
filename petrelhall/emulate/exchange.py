"""Units lent through a counter that fails: every sequence of troubles of three gateways, one district, one counter.

What is spent is counted by ``standins.meter``, one store for all, which shares no code with what it judges.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from petrelhall.emulate.quota import TERMS as SPOKEN
from petrelhall.emulate.quota import Books
from petrelhall.emulate.search import Found, search
from petrelhall.quota.exchange import Call, Exchange
from petrelhall.quota.ledger import Ledger
from petrelhall.quota.shares import RHO, SKEW_MS, Terms

CODE = 7
TERMS = Terms(SPOKEN.rate, SPOKEN.burst, SPOKEN.gateways, counter=True)
STEP_MS, STEPS = 75.0, 5  # of a turn of the search: a window of these terms lasts 375 ms, a loan lives for 750


@dataclass(frozen=True)
class Turn:
    """What a turn brings. ``counter``: well, slow (by a step), busy, gone, deaf (adds, never answers), late, split."""

    name: str
    counter: str = "well"
    replaced: bool = False  # an empty one takes over at the turn's begin, and again half way
    want: tuple[int, ...] = (0,)  # who asks for much; the others have units to spare
    spend: tuple[int, ...] = (0,)
    stopped: int | None = None
    started: int | None = None


TURNS = [
    *(
        Turn(f"{counter}, {want} want", counter, False, want, want)
        for counter in ("well", "busy", "gone", "deaf", "late", "split")
        for want in ((0,), (1, 2))
    ),
    *(
        Turn(f"{counter} and replaced, {want} want", counter, True, want, want)
        for counter, want in (("well", (0,)), ("slow", (0,)), ("slow", (0, 1)))
    ),
    Turn("slow, (0, 1) want", "slow", False, (0, 1), (0, 1)),
    *(Turn(f"{number} starts anew", started=number) for number in range(3)),
    *(
        Turn(f"{number} stopped", stopped=number, want=((number + 1) % 3,), spend=((number + 1) % 3,))
        for number in range(3)
    ),
]


@dataclass
class World(Books):
    """One state of the search; copied by pickling it."""

    kind: type[Exchange] = Exchange
    exchanges: dict[int, Exchange] = field(default_factory=dict)
    parts: list[dict[int, tuple[float, float]]] = field(default_factory=lambda: [{}, {}])
    late: list[tuple[int, Call]] = field(default_factory=list)  # calls given up that are still on their way
    queue: list[tuple[int, Call]] = field(default_factory=list)  # calls that have their turn in the next step
    unheard: list[tuple[int, Call, float]] = field(default_factory=list)  # answers before a stopped gateway

    def start(self, number: int, long_ago: bool = False) -> None:
        """Start a gateway: its clock is set by Unix time, wrong by up to half of what two may differ."""
        self.lives += 1
        rate = (1.0 - RHO, 1.0, 1.0 + RHO)[number]
        self.clocks[number] = rate, 1e6 + (number - 1) * SKEW_MS / 2.0 + (1.0 - rate) * self.now
        now = self.clock(number)
        ledger = Ledger(number, self.lives, 0.0, number, now - 1e5 * long_ago)
        self.accounts[number] = ledger.account(CODE, False, TERMS, (), now)
        self.exchanges[number] = self.kind(ledger)

    def take(self, turn: Turn) -> None:
        """Let a turn pass."""
        if turn.started is not None:
            self.late, self.queue = (
                [entry for entry in calls if entry[0] != turn.started] for calls in (self.late, self.queue)
            )
            self.start(turn.started)
        waiting, self.late = self.late, []
        for step in range(STEPS):
            self.now += STEP_MS
            if turn.replaced and step in (0, STEPS // 2):
                self.parts = [{}, {}]
            queue, self.queue = self.queue, []
            for number, call in queue:
                total = self.add(number, call, turn)
                if number != turn.stopped:
                    self.tell(number, call, True, False, total)
                else:
                    self.unheard.append((number, call, total))
            if turn.stopped is None and self.unheard:
                unheard, self.unheard = self.unheard, []
                for number, call, total in unheard:
                    self.tell(number, call, True, False, total)
            if waiting and turn.counter != "late":
                waiting, calls = [], waiting
                for number, call in calls:
                    self.add(number, call, turn)
            for number, exchange in self.exchanges.items():
                if number == turn.stopped:
                    continue
                now, account = self.clock(number), self.accounts[number]
                if number in turn.want:
                    exchange.ledger.want(account, now, TERMS.burst)
                else:
                    exchange.ledger.short.clear()
                for call in exchange.turn(now):
                    self.made(number, call, turn)
            for number in turn.spend:
                if number != turn.stopped:
                    self.spend(number)
        self.late += waiting

    def made(self, number: int, call: Call, turn: Turn) -> None:
        """Carry out a call as the turn has it."""
        if turn.counter in ("busy", "gone"):
            self.tell(number, call, False, True, 0.0)
        elif turn.counter == "slow":
            self.queue.append((number, call))
        elif turn.counter == "late":
            self.late.append((number, call))
            self.tell(number, call, False, False, 0.0)
        else:
            total = self.add(number, call, turn)
            heard = turn.counter != "deaf"
            self.tell(number, call, heard, False, total * heard)

    def add(self, number: int, call: Call, turn: Turn) -> float:
        """Add at the counter, or at the part of it that this gateway reaches."""
        part = self.parts[number % 2 if turn.counter == "split" else 0]
        total, until = part.get(call.name, (0.0, 0.0))
        if until <= self.now:
            total, until = 0.0, self.now + call.expire_ms
        part[call.name] = total + call.amount, until
        return total + call.amount

    def tell(self, number: int, call: Call, ok: bool, refused: bool, total: float) -> None:
        """Have a call's end heard."""
        self.exchanges[number].answered(self.clock(number), call.name, ok, refused, total)

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
                    near(share.demand),
                    tuple((near(until - now), units) for until, units in share.lent),
                    tuple((near(until - now), units) for until, units in share.held),
                )
            )
        parts = tuple(
            tuple(
                (name, near(total), near(until - self.now))
                for name, (total, until) in sorted(part.items())
                if until > self.now
            )
            for part in self.parts
        )
        waiting = tuple((one, call.name, call.amount) for one, call in (*self.late, *self.queue))
        return tuple(rows), near(self.store.level), parts, waiting, len(self.unheard)


def explore(depth: int, kind: type[Exchange] = Exchange) -> Found:
    """Play every sequence of so many turns from full stores."""
    world = World(kind=kind)
    for number in range(3):
        world.start(number, long_ago=True)
    return search(world, TURNS, depth, World.excess)
