"""Membership in simulated time: what happens to so many gateways, and how soon each finds out."""

from __future__ import annotations

import pickle
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from petrelhall.emulate.fabric import Fabric, Links
from petrelhall.members.core import Action, Changed, Members, MessageReceived, Send, Tick
from petrelhall.members.plan import LOOK_MS, Pace, pace
from petrelhall.standins.history import History, Moment, Said, Stated, Verdict

CALM_MS = 20000.0  # between a fleet's settling and the strike, at most


@dataclass
class Membership:
    """Drives cores of membership, and notes what each says of the others, with the time."""

    pace: Pace
    seed: int
    said: list[tuple[float, int, int, Changed]] = field(default_factory=list)  # time, who says it in which life, what
    lives: int = 0
    core: type[Members] = Members

    def start(self, number: int, now: float) -> Members:
        """Start one."""
        self.lives += 1
        self.said.append((now, number, self.lives, Changed(number, "here", self.lives, "started")))
        return self.core(number, self.lives, self.pace, self.seed * 1000003 + self.lives, now)

    def tick(self, core: Any, now: float) -> Iterable[tuple[int | None, bytes]]:
        """Let time pass."""
        return self.noted(core, now, core.handle(now, Tick()))

    def hear(self, core: Any, now: float, sender: int, content: bytes) -> Iterable[tuple[int | None, bytes]]:
        """Give it a word."""
        return self.noted(core, now, core.handle(now, MessageReceived(sender, content)))

    def noted(self, core: Members, now: float, actions: list[Action]) -> list[tuple[int | None, bytes]]:
        """Keep what it says of others, give what it sends."""
        for action in actions:
            if isinstance(action, Changed):
                self.said.append((now, core.number, core.life, action))
        return [(action.to, action.content) for action in actions if isinstance(action, Send)]


@dataclass(frozen=True)
class Outcome:
    """What became of one play."""

    found_ms: list[float]  # by surviving observer and dead member
    unfound: int
    doubts: int  # of members that were there
    wrongly_failed: int
    bytes_per_s: float  # of one gateway
    words_per_s: float
    settled_ms: float  # from the start until all hold all for here

    @property
    def median_ms(self) -> float:
        """Give the median time to find."""
        return statistics.median(self.found_ms) if self.found_ms else float("nan")

    @property
    def slowest_ms(self) -> float:
        """Give the longest."""
        return max(self.found_ms, default=float("nan"))


def play(
    members: int,
    killed: int,
    links: Links,
    seed: int,
    messages_per_s: float = 100.0,
    share: float = 0.1,
    late_ms: float = 300.0,
    quiet_s: float = 0.0,
    cut: bool = False,
) -> Outcome:
    """Let gateways start and settle, lose some (dead, or cut off from the others), and look on until all know.

    Where half or more are lost no gateway may call them failed: then a doubt counts as found.
    """
    paces = pace(members, messages_per_s, share, late_ms)
    driver = Membership(paces, seed)
    fabric = Fabric(driver, members, links, seed, LOOK_MS)
    settled = None
    until = 20.0 * paces.fail_ms + quiet_s * 1000.0
    while fabric.now < until:
        fabric.run(fabric.now + 250.0)
        if settled is None and all(
            member.state == "here" for core in fabric.cores.values() for member in core.members.values()
        ):
            settled = fabric.now
        if settled is not None and fabric.now - settled >= min(CALM_MS, paces.hear_ms) + quiet_s * 1000.0:
            break
    lost = set(fabric.random.sample(range(members), killed))
    struck = fabric.now
    if cut:
        links.cut = lambda sender, receiver: (sender in lost) != (receiver in lost)
    else:
        for number in lost:
            fabric.kill(number)
    fabric.run(struck + 1.25 * paces.found_ms)
    few = members - killed < paces.majority
    found: dict[tuple[int, int], float] = {}
    doubts = wrong = 0
    for when, who, _, change in driver.said:
        dead = change.number in lost and when >= struck and who not in lost
        if dead and (change.state == "failed" or (few and change.state == "doubt")):
            found.setdefault((who, change.number), when - struck)
        elif change.state == "doubt" and (who in lost) == (change.number in lost) and "silent" in change.why:
            doubts += 1
        elif change.state == "failed" and not dead:
            wrong += 1
    span_s = fabric.now / 1000.0
    return Outcome(
        list(found.values()),
        killed * (members - killed) - len(found),
        doubts,
        wrong,
        fabric.bytes / span_s / members,
        fabric.datagrams / span_s / members,
        settled if settled is not None else float("nan"),
    )


def stated(paces: Pace) -> Stated:
    """Give what gateways state of these paces, as the judge takes it."""
    return Stated(
        paces.fail_ms / 1000.0,
        paces.found_ms / 1000.0,
        (paces.found_ms - paces.fail_ms) / 1000.0,
        paces.hear_ms / 1000.0,
    )


class Scene:
    """Some gateways in simulated time, what is done to them, and the judge of what they say. Times in seconds."""

    def __init__(
        self,
        members: int,
        seed: int = 1,
        links: Links | None = None,
        paces: Pace | None = None,
        core: type[Members] = Members,
    ) -> None:
        self.pace = paces or pace(members, 100.0, 0.1, 300.0)
        self.driver = Membership(self.pace, seed, core=core)
        self.links = links or Links()
        self.closed: set[tuple[int, int]] = set()
        self.links.cut = lambda sender, receiver: (sender, receiver) in self.closed
        self.fabric = Fabric(self.driver, members, self.links, seed, LOOK_MS)
        self.moments: list[Moment] = []
        self.mark()

    @property
    def now(self) -> float:
        """Give the time."""
        return self.fabric.now / 1000.0

    def core(self, number: int) -> Members:
        """Give a gateway's core."""
        found: Members = self.fabric.cores[number]
        return found

    def mark(self) -> None:
        """Keep how things stand from now on."""
        alive = set(self.fabric.cores)
        self.moments.append(
            Moment(
                self.now,
                frozenset(alive - set(self.fabric.stopped)),
                frozenset(self.closed),
                frozenset(set(range(self.pace.members)) - alive),
            )
        )

    def run(self, seconds: float) -> Scene:
        """Let time pass."""
        self.fabric.run(self.fabric.now + seconds * 1000.0)
        return self

    def cut(self, some: Iterable[int], others: Iterable[int], one_way: bool = False) -> None:
        """Cut all ways from some to others, and back."""
        pairs = {(one, other) for one in some for other in others if one != other}
        self.closed |= pairs if one_way else pairs | {(other, one) for one, other in pairs}
        self.mark()

    def heal(self) -> None:
        """Open all ways."""
        self.closed.clear()
        self.mark()

    def kill(self, *numbers: int) -> None:
        """End gateways at once."""
        for number in numbers:
            self.fabric.kill(number)
        self.mark()

    def start(self, *numbers: int) -> None:
        """Start gateways, empty; those that run end at once."""
        for number in numbers:
            self.fabric.kill(number)
            self.fabric.start(number)
        self.mark()

    def stop(self, *numbers: int) -> None:
        """Have gateways stand still."""
        for number in numbers:
            self.fabric.stop(number)
        self.mark()

    def go_on(self, *numbers: int) -> None:
        """Have them go on."""
        for number in numbers:
            self.fabric.go_on(number)
        self.mark()

    def states(self, observer: int) -> str:
        """Give what a gateway holds the others for, a letter each in the order of their numbers: h, d, f, l or u."""
        return "".join(member.state[0] for _, member in sorted(self.core(observer).members.items()))

    def verdict(self) -> Verdict:
        """Have all of it judged."""
        said = [
            Said(when / 1000.0, who, life, change.number, change.state, change.life)
            for when, who, life, change in self.driver.said
            if change.state != "away"
        ]
        return History(self.pace.members, self.moments, said, self.now, stated(self.pace)).judge()


# Three gateways and everything that can befall them, turn by turn


@dataclass
class Found:
    """What an exhaustive search saw."""

    states: int = 0
    paths: int = 0
    broken: list[str] = field(default_factory=list)


@dataclass
class Turn:
    """What holds for one turn of a search: ways that are cut, who stands still, and who is killed before it."""

    name: str
    closed: frozenset[tuple[int, int]] = frozenset()
    stopped: frozenset[int] = frozenset()
    killed: int | None = None
    started: int | None = None
    replay: bool = False  # the first words that each gateway ever said come again


PAIRS = [(one, other) for one in range(3) for other in range(3) if one != other]
TURNS = [
    Turn("well"),
    Turn("replay", replay=True),
    Turn("all cut", frozenset(PAIRS)),
    *(Turn(f"{n} cut off", frozenset(pair for pair in PAIRS if n in pair)) for n in range(3)),
    *(Turn(f"{n} not heard", frozenset(pair for pair in PAIRS if pair[0] == n)) for n in range(3)),
    *(Turn(f"{n} hears nobody", frozenset(pair for pair in PAIRS if pair[1] == n)) for n in range(3)),
    *(Turn(f"{a}-{b} cut", frozenset(((a, b), (b, a)))) for a, b in ((0, 1), (0, 2), (1, 2))),
    *(Turn(f"{a}>{b} cut", frozenset(((a, b),))) for a, b in PAIRS),
    *(Turn(f"{n} stopped", stopped=frozenset((n,))) for n in range(3)),
    *(Turn(f"{n} killed", killed=n) for n in range(3)),
    *(Turn(f"{n} started", started=n) for n in range(3)),
]
# News goes from one to a second and on to a third in three words of each at most: that is the spread. A loss of three
# turns is to be found, one of two turns may be.
SMALL = Pace(
    3, word_ms=400.0, step_ms=400.0, spread_ms=1200.0, doubt_ms=2200.0, fail_ms=4400.0, hear_ms=2000.0, observers=2
)
TURN_MS = 2400.0


@dataclass
class World:
    """One state of the search; copied by pickling it."""

    cores: dict[int, Members]
    now: float
    lives: int
    moments: list[Moment]
    said: list[Said]
    waiting: dict[int, list[tuple[int, bytes]]]
    first: dict[int, bytes]

    def key(self) -> Any:
        """Give what the future depends on: times count from now, and random draws, which are lost, do not."""
        rows = []
        for number, core in sorted(self.cores.items()):
            rows.append(
                (
                    number,
                    core.life,
                    core.old_until - self.now if core.old(self.now) else 0.0,
                    tuple(
                        (
                            member.state,
                            member.life,
                            min(9999.0, self.now - member.fresh),
                            member.counter - core.counter,
                            min(9999.0, self.now - member.heard),
                            member.hears,
                            member.misses,
                            member.old,
                        )
                        for member in core.members.values()
                    ),
                )
            )
        return tuple(rows), tuple(sorted(self.waiting)), self.moments[-1]

    def start(self, number: int, core: type[Members]) -> None:
        """Start a gateway, in place of one that runs."""
        self.lives += 1
        self.cores[number] = core(number, self.lives, SMALL, number, self.now)
        self.said.append(Said(self.now / 1000.0, number, self.lives, number, "here", self.lives))

    def take(self, turn: Turn, core: type[Members]) -> None:
        """Let a turn pass."""
        if turn.killed is not None:
            self.cores.pop(turn.killed, None)
        if turn.started is not None:
            self.start(turn.started, core)
        running = frozenset(self.cores) - turn.stopped
        self.moments.append(
            Moment(self.now / 1000.0, running, turn.closed, frozenset(range(3)) - frozenset(self.cores))
        )
        for number in [number for number in self.waiting if number in running]:
            for sender, content in self.waiting.pop(number):
                self.give(sender, number, content, turn)
        if turn.replay:
            for sender, content in self.first.items():
                for number in sorted(running - {sender}):
                    self.give(sender, number, content, turn)
        until = self.now + TURN_MS
        while self.now < until:
            self.now += SMALL.word_ms
            for number in sorted(running):
                self.act(number, self.cores[number].handle(self.now, Tick()), turn)

    def give(self, sender: int, number: int, content: bytes, turn: Turn) -> None:
        """Have a word arrive."""
        if (sender, number) in turn.closed or number not in self.cores:
            return
        if number in turn.stopped:
            self.waiting.setdefault(number, []).append((sender, content))
        else:
            self.act(number, self.cores[number].handle(self.now, MessageReceived(sender, content)), turn)

    def act(self, number: int, actions: list[Action], turn: Turn) -> None:
        """Carry out what a core says."""
        life = self.cores[number].life
        for action in list(actions):
            if isinstance(action, Changed) and action.state != "away":
                self.said.append(Said(self.now / 1000.0, number, life, action.number, action.state, action.life))
            elif isinstance(action, Send):
                self.first.setdefault(number, action.content)
                for to in range(3) if action.to is None else (action.to,):
                    if to != number:
                        self.give(number, to, action.content, turn)


def alike(turn: Turn) -> bool:
    """Tell whether a first turn stands for those like it with the gateways named otherwise."""
    numbers = [int(letter) for letter in turn.name if letter.isdigit()]
    return numbers == list(range(len(numbers)))


def explore(depth: int, core: type[Members] = Members) -> Found:
    """Play every sequence of so many turns from a settled start, and judge each; equal states are played on once.

    Of first turns that differ only in the gateways' names one is played.
    """
    world = World({}, 0.0, 0, [], [], {}, {})
    for number in range(3):
        world.start(number, core)
    for _ in range(3):
        world.take(TURNS[0], core)
    found, seen = Found(), {world.key()}
    edge = [((), pickle.dumps(world))]  # type: list[tuple[tuple[str, ...], bytes]]
    for _ in range(depth):
        following = []
        for path, state in edge:
            for turn in TURNS if path else filter(alike, TURNS):
                world = pickle.loads(state)
                world.take(turn, core)
                found.paths += 1
                verdict = History(3, world.moments, world.said, world.now / 1000.0, stated(SMALL)).judge()
                if verdict.wrongly_failed or verdict.dead_lives_back or verdict.found < verdict.failures:
                    found.broken.append(f"{' / '.join((*path, turn.name))}: {verdict.examples[0]}")
                    if len(found.broken) >= 3:
                        return found
                key = world.key()
                if key not in seen:
                    seen.add(key)
                    following.append(((*path, turn.name), pickle.dumps(world)))
        edge = following
    found.states = len(seen)
    return found
