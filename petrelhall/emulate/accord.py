"""Agreement in simulated time: every sequence of troubles of three gateways and two operators, and larger fleets.

What is served and what operators are told is judged by ``standins.policies``, which shares no code with the core.
"""

from __future__ import annotations

import pickle
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from petrelhall.accord import words
from petrelhall.accord.core import ConsensusCore, MessageReceived, PersistState, Propose, Send, Tick
from petrelhall.accord.plan import MAX_CLOCK_DRIFT, TimingParameters, derive_timing
from petrelhall.accord.votes import VoterState
from petrelhall.emulate.fabric import Fabric, Links
from petrelhall.emulate.search import Found
from petrelhall.standins.policies import Admitted, Claim, Record

TICK_MS = 50.0
FILE = b'{"plans":{}}'
REFUSED = b"bad"  # how a document begins that gateway 2 cannot serve
PACE = derive_timing(3, 7, 400.0, 0.5, 1000.0, 0.0, 50.0, False)


def check(content: bytes) -> str:
    """Say why a document cannot be served."""
    return "not here" if content.startswith(REFUSED) else ""


def anything(content: bytes) -> str:
    """Take every document."""
    return ""


@dataclass(frozen=True)
class Turn:
    """What a turn of the search brings. ``carry``: well, lost, late (by a turn), twice, odd (every second is lost)."""

    name: str
    carry: str = "well"
    cut: frozenset[tuple[int, int]] = frozenset()  # sender, receiver
    propose: tuple[int, ...] = ()  # gateways at which operators propose, each another document
    stopped: int | None = None
    started: int | None = None  # killed half way, and back at once
    at: float = 0.5  # of the steps: when
    lose: tuple[tuple[str, int, int], ...] = ()  # words by name, sender and receiver; -1 for any
    late: tuple[tuple[str, int, int], ...] = ()  # such as come in the next turn
    steps: int = 12

    def matches(self, some: tuple[tuple[str, int, int], ...], name: str, sender: int, receiver: int) -> bool:
        """Tell whether a word is one of some."""
        return any(name == one and who in (-1, sender) and whom in (-1, receiver) for one, who, whom in some)


def alone(number: int) -> frozenset[tuple[int, int]]:
    """Give the ways between one gateway and the others."""
    return frozenset(pair for other in range(3) if other != number for pair in ((number, other), (other, number)))


TURNS = [
    Turn("well"),
    Turn("lost", "lost"),
    Turn("0 proposes", propose=(0,)),
    Turn("0 and 1 propose", propose=(0, 1)),
    Turn("0 proposes, late", "late", propose=(0,)),
    Turn("0 proposes, twice", "twice", propose=(0,)),
    Turn("0 proposes, odd", "odd", propose=(0,), steps=6),
    Turn("1 proposes, odd", "odd", propose=(1,), steps=5),
    Turn("0 proposes and is killed", propose=(0,), started=0, steps=6),
    Turn("0 proposes, 1 is killed", propose=(0,), started=1, steps=6),
    Turn("0 proposes and is stopped", propose=(0,), stopped=0, steps=3),
    Turn("1 is stopped", stopped=1, steps=30),
    Turn("2 is killed", started=2),
    Turn("1 is killed", started=1, steps=4),
    Turn("late", "late"),
    Turn("0 proposes, alone", cut=alone(0), propose=(0,)),
    Turn("2 is alone", cut=alone(2), steps=30),
    Turn("1 proposes, 2 is alone", cut=alone(2), propose=(1,), steps=30),
    Turn("0 is not heard", cut=frozenset(((0, 1), (0, 2))), propose=(0,)),
    Turn(
        "0 proposes, only 1 votes and is heard later",
        propose=(0,),
        lose=(("Accept", 0, 2),),
        late=(("Accepted", 1, 0),),
        steps=4,
    ),
    Turn(
        "0 proposes, nobody votes nor hears of it",
        propose=(0,),
        steps=4,
        lose=tuple((name, 0, -1) for name in ("Accept", "Decided", "Ask", "Grant")),
    ),
    Turn(
        "2 proposes, only 1 votes, 2 is killed",
        propose=(2,),
        lose=(("Accept", 2, 0), ("Accepted", 1, 2)),
        started=2,
        steps=4,
    ),
    Turn("2 proposes, 0 is alone", cut=alone(0), propose=(2,), steps=30),
    Turn("0 proposes, 2 is alone", cut=alone(2), propose=(0,), steps=30),
    Turn("1 is killed, 0 is alone", cut=alone(0), started=1, at=0.0, steps=16),
    Turn("1 is killed for a moment", started=1, at=0.0, steps=3),
    Turn("0 hears no asks", lose=(("Ask", -1, 0),), steps=30),
    Turn("0 proposes, 2 is alone, a moment", cut=alone(2), propose=(0,), steps=8),
    Turn("0 proposes, the end is not told", propose=(0,), lose=(("Decided", -1, -1), ("Grant", -1, 2)), steps=3),
]


@dataclass
class World:
    """One state of the search; copied by pickling it."""

    kind: type[ConsensusCore]
    disk: bool = False  # whether gateways have folders that last
    pace: TimingParameters = PACE
    now: float = 0.0
    lives: int = 0
    proposals: int = 0
    ticks: int = 0
    cores: dict[int, ConsensusCore] = field(default_factory=dict)
    clocks: dict[int, tuple[float, float]] = field(default_factory=dict)
    disks: dict[int, tuple[VoterState, tuple[bytes, ...]]] = field(default_factory=dict)
    late: list[tuple[int, int, bytes]] = field(default_factory=list)
    held: dict[int, list[tuple[int, bytes]]] = field(default_factory=dict)
    record: Record = field(default_factory=Record)
    told: set[tuple[int, int, str, str]] = field(default_factory=set)
    document: bytes = FILE
    before_send: Callable[[World, int, Any], bool] | None = None  # may strike; False: the word is not sent
    dead: set[int] = field(default_factory=set)  # and not started again yet
    still: set[int] = field(default_factory=set)  # stopped, beside a turn's own

    def clock(self, number: int) -> float:
        """Give what a gateway's clock shows: they run apart by the most that is allowed."""
        rate, begin = self.clocks[number]
        return begin + rate * self.now

    def start(self, number: int) -> None:
        """Start a gateway, empty or with what its folder holds."""
        self.lives += 1
        rate = (1.0 - MAX_CLOCK_DRIFT, 1.0, 1.0 + MAX_CLOCK_DRIFT)[number % 3]
        self.clocks[number] = rate, 1e6 * self.lives - rate * self.now
        self.dead.discard(number)
        memory, documents = self.disks.get(number, (None, ()))
        self.cores[number] = self.kind(
            number,
            self.lives,
            self.pace,
            self.document,
            check if number == 2 else anything,
            self.lives,
            self.clock(number),
            memory,
            documents,
        )

    def take(self, turn: Turn) -> None:
        """Let a turn pass."""
        came, self.late = self.late, []
        for receiver, sender, content in came:
            self.give(receiver, sender, content, turn)
        for number in [number for number in self.held if number != turn.stopped and number not in self.still]:
            self.look(number)  # a request that waited there comes first
            for sender, content in self.held.pop(number):
                self.give(number, sender, content, turn)
        for number in turn.propose:
            self.proposals += 1
            core = self.cores[number]
            document = b"doc %d" % self.proposals
            self.carry(number, core.handle(self.clock(number), Propose(document, core.last_decision.version)), turn)
        for step in range(turn.steps):
            if turn.started is not None and step == int(turn.at * turn.steps):
                self.held.pop(turn.started, None)
                self.start(turn.started)
            self.now += TICK_MS
            for number, core in list(self.cores.items()):
                if number != turn.stopped and self.runs(number):
                    self.carry(number, core.handle(self.clock(number), Tick()), turn)
                    self.look(number)

    def runs(self, number: int) -> bool:
        """Tell whether a gateway is neither dead nor stopped."""
        return number not in self.dead and number not in self.still

    def look(self, number: int) -> None:
        """Admit a request where it may be, and see what operators are told."""
        core = self.cores[number]
        if core.can_admit(self.clock(number)) and core.serving is not None:
            version, digest, before = core.serving
            self.record.admitted.append(Admitted(self.now, number, version, digest.hex()[:8], before is not None))
        for change in core.changes:
            claim = number, change.slot, change.digest.hex()[:8], change.state
            if change.finished and claim not in self.told and not change.settles:
                self.told.add(claim)
                self.record.claims.append(Claim(self.now, change.slot, change.digest.hex()[:8], change.state))

    def carry(self, sender: int, actions: Iterable[Any], turn: Turn) -> None:
        """Carry out a core's actions."""
        for action in list(actions):
            if isinstance(action, PersistState) and self.disk:
                self.disks[sender] = action.state, action.documents
            if not isinstance(action, Send):
                continue
            if self.before_send is not None:
                word = words.decode(action.content, self.pace.members, len(self.pace.voters))
                if not self.before_send(self, sender, word) or not self.runs(sender):
                    continue
            self.ticks += 1
            if turn.carry == "lost" or (sender, action.to) in turn.cut or (turn.carry == "odd" and self.ticks % 2):
                continue
            name = ""
            if turn.lose or turn.late:
                name = type(words.decode(action.content, self.pace.members, len(self.pace.voters))).__name__
                if turn.matches(turn.lose, name, sender, action.to):
                    continue
            if turn.matches(turn.late, name, sender, action.to):
                self.late.append((action.to, sender, action.content))
                continue
            if turn.carry in ("late", "twice"):
                self.late.append((action.to, sender, action.content))
            if turn.carry != "late":
                self.give(action.to, sender, action.content, turn)

    def give(self, receiver: int, sender: int, content: bytes, turn: Turn) -> None:
        """Have a word arrive."""
        if receiver in self.dead:
            return
        if receiver == turn.stopped or receiver in self.still:
            self.held.setdefault(receiver, []).append((sender, content))
        else:
            core = self.cores[receiver]
            self.carry(receiver, core.handle(self.clock(receiver), MessageReceived(sender, content)), turn)
            self.look(receiver)

    def wrong(self) -> list[str]:
        """Give what the judge finds, with the histories as they are now."""
        self.record.histories = [
            {version: digest.hex()[:8] for version, digest in core.history} for core in self.cores.values()
        ]
        verdict = self.record.judge()
        return verdict.examples if verdict.mixed or verdict.lost_changes or verdict.wrong_answers else []

    def thin(self) -> None:
        """Forget what no later verdict needs: of what was admitted, the first and the last by gateway and version."""
        kept: dict[tuple[int, int, str, bool], list[Admitted]] = {}
        for one in self.record.admitted:
            kept.setdefault((one.gateway, one.version, one.digest, one.either), []).append(one)
        self.record.admitted = [one for some in kept.values() for one in {some[0], some[-1]}]


def settled(
    kind: type[ConsensusCore], disk: bool = False, paces: TimingParameters = PACE, document: bytes = FILE
) -> World:
    """Give gateways that have begun together and serve version 0."""
    world = World(kind, disk, paces, document=document)
    for number in range(paces.members):
        world.start(number)
    for _ in range(4):
        world.take(Turn("well"))
    return world


def explore(
    depth: int, kind: type[ConsensusCore] = ConsensusCore, disk: bool = False, turns: list[Turn] | None = None
) -> Found:
    """Play every sequence of so many turns, each followed by calm in which all must come to serve again."""
    first = pickle.dumps(settled(kind, disk))
    found = Found()
    edge: list[tuple[tuple[str, ...], bytes]] = [((), first)]
    for _ in range(depth):
        following = []
        for path, state in edge:
            for turn in turns or TURNS:
                world: World = pickle.loads(state)
                world.take(turn)
                found.paths += 1
                world.thin()
                following.append(((*path, turn.name), pickle.dumps(world)))
                for _ in range(5):
                    world.take(Turn("well", steps=20))
                wrong = world.wrong()
                found.broken += [f"{' / '.join((*path, turn.name))}: {one}" for one in wrong]
                if not disk and sum("killed" in name for name in (*path, turn.name)) > 1:
                    pass  # a majority may have forgotten: nobody decides, which is as it must be
                elif not all(core.can_admit(world.clock(number)) for number, core in world.cores.items()):
                    found.broken.append(f"{' / '.join((*path, turn.name))}: not all serve again")
                elif len({core.last_decision.digest for core in world.cores.values()}) > 1:
                    found.broken.append(f"{' / '.join((*path, turn.name))}: versions differ after calm")
                if len(found.broken) >= 3:
                    return found
        edge = following
    found.states = found.paths + 1
    return found


# Larger fleets


class Cores:
    """Drives cores in a fabric; keeps what they serve and what operators are told."""

    def __init__(self, paces: TimingParameters, seed: int) -> None:
        self.pace, self.seed, self.lives = paces, seed, 0
        self.words: Counter[int] = Counter()  # sent, by member

    def start(self, number: int, now: float) -> ConsensusCore:
        """Give a new core, empty."""
        self.lives += 1
        return ConsensusCore(number, self.lives, self.pace, FILE, anything, self.seed * 10000 + self.lives, now)

    def sends(self, core: ConsensusCore, actions: Iterable[Any]) -> list[tuple[int | None, bytes]]:
        """Give the datagrams among actions."""
        found: list[tuple[int | None, bytes]] = [(one.to, one.content) for one in actions if isinstance(one, Send)]
        self.words[core.number] += len(found)
        return found

    def tick(self, core: ConsensusCore, now: float) -> Iterable[tuple[int | None, bytes]]:
        """Let time pass for a core."""
        return self.sends(core, core.handle(now, Tick()))

    def hear(self, core: ConsensusCore, now: float, sender: int, content: bytes) -> Iterable[tuple[int | None, bytes]]:
        """Give a core a datagram."""
        return self.sends(core, core.handle(now, MessageReceived(sender, content)))


@dataclass(frozen=True)
class Fleet:
    """What came of a play."""

    in_force_s: tuple[float, ...]  # of each change, until it was told to be in force
    everywhere_s: tuple[float, ...]  # until all that run and are not cut off served it
    unsure_share: float  # of the time of those, without a lease
    words_per_s: float  # of one gateway
    busiest_per_s: float  # of a voter
    wrong: tuple[str, ...]


def fleet(
    members: int,
    changes: int,
    links: Links,
    seed: int,
    down: float = 0.0,
    cut_off: float = 0.0,
    messages_per_s: float = 100.0,
    share: float = 0.3,
    strictest: bool = False,
) -> Fleet:
    """Have changes proposed one after another; from the first on a share of the members is killed, or cut off."""
    paces = derive_timing(members, 7, messages_per_s, share, 2000.0, 0.0, 300.0, strictest)
    driver, record = Cores(paces, seed), Record()
    fabric = Fabric(driver, members, links, seed, TICK_MS)
    draw = random.Random(seed)

    def settle(until: Callable[[], bool], most_ms: float) -> float:
        began = fabric.now
        while not until() and fabric.now - began < most_ms:
            step()
        return (fabric.now - began) / 1000.0

    def running() -> list[ConsensusCore]:
        return [core for number, core in fabric.cores.items() if number not in apart]

    def crossing(one: int, other: int) -> bool:
        return (one in apart) != (other in apart)

    def step() -> None:
        fabric.run(fabric.now + TICK_MS)
        for number, core in fabric.cores.items():
            if core.can_admit(fabric.now) and core.serving is not None:
                version, digest, before = core.serving
                record.admitted.append(Admitted(fabric.now, number, version, digest.hex()[:8], before is not None))
        some = running()
        seen.append(sum(not core.can_admit(fabric.now) for core in some) / len(some))

    apart = struck = set[int]()
    seen: list[float] = []
    longest = 20.0 * (paces.lease_duration_ms + paces.fence_ms + paces.check_ms)
    settle(lambda: all(core.can_admit(fabric.now) for core in fabric.cores.values()), longest)
    seen.clear()
    began, words_before = fabric.now, sum(driver.words.values())
    before = Counter(driver.words)
    in_force, everywhere = [], []
    spared = set(sorted(paces.voters)[: paces.majority])
    for serial in range(changes):
        if serial == 0 and (down or cut_off):
            others = [number for number in range(members) if number not in spared]
            struck = set(draw.sample(others, min(len(others), max(1, int((down or cut_off) * members)))))
            apart = struck
            if down:
                for number in struck:
                    fabric.kill(number)
            else:
                fabric.links.cut = crossing
        number = draw.choice([core.number for core in running()])
        core = fabric.cores[number]
        version = core.last_decision.version + 1
        fabric.send(number, driver.sends(core, core.handle(fabric.now, Propose(b"doc %d" % serial, version - 1))))
        start = fabric.now

        def ended(core: ConsensusCore = core, version: int = version) -> bool:
            return any(change.finished for change in core.changes if change.slot == version)

        def all_serve(version: int = version) -> bool:
            return all(core.can_admit(fabric.now) and core.last_decision.version >= version for core in running())

        settle(ended, longest)
        change = core.changes[-1]
        if change.state == "in force":
            in_force.append((fabric.now - start) / 1000.0)
            record.claims.append(Claim(fabric.now, change.slot, change.digest.hex()[:8], change.state))
            settle(all_serve, longest)
            everywhere.append((fabric.now - start) / 1000.0)
        settle(lambda: False, paces.lease_duration_ms)
    record.histories = [{version: digest.hex()[:8] for version, digest in core.history} for core in running()]
    kept: dict[tuple[int, int, bool], list[Admitted]] = {}
    for one in record.admitted:
        kept.setdefault((one.gateway, one.version, one.either), []).append(one)
    record.admitted = [one for some in kept.values() for one in {some[0], some[-1]}]
    verdict = record.judge()
    seconds = (fabric.now - began) / 1000.0
    busiest = max(driver.words[number] - before[number] for number in range(members))
    return Fleet(
        tuple(in_force),
        tuple(everywhere),
        sum(seen) / len(seen),
        (sum(driver.words.values()) - words_before) / seconds / members,
        busiest / seconds,
        tuple(verdict.examples),
    )
