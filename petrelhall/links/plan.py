"""Which connection a request goes on, and what is opened, kept and retired. Pure: the time is handed in.

The decision module picks the box; this core picks the connection. It holds no socket: a shell (``links.pool``)
tells it of what happens to connections, asks it for one, and carries out what it lists in ``closing``. Every
connection is a ``Link`` from the moment that it begins to come up until it is closed, and counts against the
bounds for all that time.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from petrelhall.links.limits import FLOOR_MS, NEVER, Survival
from petrelhall.operator.settings import Links

IDLE_SHARE = 0.8  # of the platform's word on idle connections that is used
FRESH_MS = 1000.0  # between two looks at what a box's kept connections have shown, unless one died
ALIVE_MS = 1500.0  # after an answer in which a box is held to live, though it refused a connection
REFUSALS = 3  # in a row, without an answer between, after which a box that lived is taken for dead
CUT, GROW_MS = 0.7, 1000.0  # bound at a box after it refused; time in which the bound grows by one
TOTAL_GROW_MS = 500.0  # the same for all connections, after the machine had no descriptor
UNTOLD_MS = 10000.0  # for which a box that was seen to start is cold, where neither platform nor operators say
RAMP = 8.0  # pace of opening to a box that is nearly warm, over that to a cold one
LOOKS = 64  # of those in one tick, so that thousands of boxes don't hold up serving
REFRESH = 0.5  # share of its allowed idle time after which a connection that is still needed is used first
ALL_AT_ONCE = 3  # connections that end together, with none left, are their box's end
SETTLE_MS = 150.0  # deaths of one box are looked at together: a box that ends takes all its connections along
ALIKE = 1.3  # idle times within this ratio died of one limit
WINDOW_MS = 1000.0  # in which the peak of a box's use is taken
WORTH_MS = 200.0  # connections die sooner than this: none is opened ahead
PAUSE_MS, PAUSE_MOST_MS = 2000.0, 120000.0  # without opening ahead after one was opened for nothing
SPREAD = 0.2  # of an age or a count of uses at which connections are retired: not all at once
# A connection rests for so long between an answer and the next request. A box may send a second copy of its answer some
# milliseconds late: what comes after the next request was written would be taken for that one's answer.
REST_MS = 20.0
RESTS = 5  # requests in a window that wait for that at one box; beyond them it has too few connections for its use
RETRY_MS = 15.0  # in which a request without a connection asks again, though nothing woke it


class State(Enum):
    """Where a connection is in its life."""

    OPENING = "opening"
    BUSY = "busy"
    IDLE = "idle"
    CLOSED = "closed"


class End(Enum):
    """How an attempt to connect ended that brought no connection."""

    REFUSED = "refused"  # nobody listens, or the box holds as many as it wants
    RESET = "reset"  # someone took it and ended it
    SILENT = "silent"  # it did not come up in its time
    OURS = "ours"  # this machine has no descriptor, or no room
    LEFT = "left"  # given up, which tells nothing of the box


class No(Enum):
    """Why a request gets no connection at all."""

    UNLISTED = "not in the list"


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing may be opened now: ask again after so many ms, or when a connection of the box comes free."""

    ms: float
    cause: str


class Link:
    """One connection to a box."""

    __slots__ = (
        "box",
        "state",
        "opened",
        "idle_since",
        "idle_ms",
        "uses",
        "ahead",
        "until",
        "last_use",
        "tried",
        "carrier",
    )

    def __init__(self, box: Box, now: float, ahead: bool) -> None:
        self.box, self.state, self.opened, self.ahead = box, State.OPENING, now, ahead
        self.idle_since = 0.0  # when it was last put away
        self.idle_ms = -1.0  # how long it had lain idle when it was last taken; below 0: it never had
        self.uses = 0
        self.until, self.last_use = NEVER, 0  # when, and after how many uses (0: any number), it is retired
        self.tried = False  # it was in doubt when it was taken
        self.carrier: Any = None  # the shell's own; nothing here looks at it


class Box:
    """What is known of one box's connections."""

    __slots__ = (
        "id",
        "address",
        "listed",
        "started",
        "since",
        "life",
        "idle",
        "busy",
        "opening",
        "bound",
        "grown",
        "tokens",
        "tokens_at",
        "answered",
        "refusals",
        "refused",
        "dead_at",
        "peak",
        "last_peak",
        "missed",
        "wasted",
        "ahead_from",
        "warm_at",
        "looked",
        "kept_ms",
        "sure_ms",
        "hint_ms",
        "deaths",
        "hold_ms",
        "doubt",
        "trying",
        "most",
        "opens",
        "stale",
        "ends",
        "ends_at",
        "survived",
        "rests",
    )

    def __init__(self, name: str, address: object, bound: float, life: Survival) -> None:
        self.id, self.address, self.listed, self.life = name, address, True, life
        self.started = 0.0  # what the list says of its start; 0: long ago
        self.since = 0.0  # since when it has been cold, by the list or by what was seen; 0: long ago
        self.idle: list[Link] = []  # by when they were put away, the latest last
        self.busy = self.opening = 0
        self.bound, self.grown = bound, 0.0  # connections at most, and when the bound last changed
        self.tokens, self.tokens_at = 1.0, 0.0  # connections that may be opened now while it is cold
        self.answered, self.refusals, self.refused, self.dead_at = -NEVER, 0, 0.0, 0.0
        self.peak = self.last_peak = self.missed = self.wasted = self.rests = 0
        self.ahead_from, self.warm_at = 0.0, NEVER
        self.looked, self.kept_ms, self.sure_ms, self.hint_ms = -NEVER, NEVER, NEVER, NEVER
        self.deaths: list[tuple[float, float, bool]] = []  # not looked at yet: when, idle ms, seen closing
        self.hold_ms = NEVER  # shortest idle time among those
        self.doubt, self.trying = 0.0, False  # idle since before this: in doubt; one of them is being tried
        self.most = self.opens = self.stale = 0
        self.survived = 0.0  # longest idle time that was survived since the last look
        self.ends, self.ends_at = 0, -NEVER  # connections that ended by themselves within SETTLE_MS, and since when

    @property
    def open(self) -> int:
        """Give how many connections there are, coming up, in use or idle."""
        return self.busy + self.opening + len(self.idle)


class Plan:
    """The connections of one gateway. ``closing`` holds what is to be closed, with the cause, until it is taken."""

    def __init__(
        self, settings: Links, room: int, idle_ms: float, cold_ms: float = 0.0, gateways: int = 1, seed: int = 0
    ) -> None:
        self.room, self.platform_idle_ms, self.platform_cold_ms = room, idle_ms, cold_ms
        self.gateways, self.seed = max(1, gateways), seed
        self.random = random.Random(seed)
        self.boxes: dict[str, Box] = {}
        self.leaving: dict[int, Box] = {}  # not listed any more, with connections still in use, by identity
        self.idle: dict[Link, None] = {}  # all idle connections, the longest idle first
        self.closing: list[tuple[Link, str]] = []
        self.counts: Counter[str] = Counter()
        self.fleet: Survival | None = None
        self.open = self.opening = 0
        self.windowed = 0.0
        self.listed_at = 0.0
        self.total, self.total_grown = float(room), 0.0
        self.configure(settings)

    def configure(self, settings: Links) -> None:
        """Take other settings over. What is open beyond new bounds is closed as it comes free."""
        self.settings = settings
        self.most = min(settings.total or self.room, self.room)
        self.total = float(self.most)
        self.cold_ms = settings.cold.ms or self.platform_cold_ms or UNTOLD_MS
        self.idle_ms = settings.stale.idle_ms or IDLE_SHARE * self.platform_idle_ms
        for box in self.boxes.values():
            box.bound = float(settings.per_box)
            box.looked = -NEVER
            while box.idle and box.open > settings.per_box:
                self.retire(box.idle[0], "bound")
        while self.idle and self.open > self.most:
            self.retire(next(iter(self.idle)), "bound")

    # The list of boxes

    def listed(self, now: float, name: str, address: object, started_ms: float | None) -> None:
        """A box is in the list and wants work; ``started_ms`` is Unix time, 0 for long ago, None for untold.

        At a new address it is another box, whose connections have nothing to do with those there were.
        """
        box = self.boxes.get(name)
        if box is not None and box.address == address:
            if started_ms and started_ms > box.started:  # anew where it was: what was open leads nowhere
                box.started = started_ms
                if started_ms > box.since:
                    self.begin_cold(now, box, started_ms)
                for link in [link for link in box.idle if link.opened < started_ms]:
                    self.retire(link, "restarted")
            return
        if box is not None:
            self.unlisted(name, "moved")
        if not self.listed_at:
            self.listed_at = now
        if self.fleet is None:
            self.fleet = Survival(now, self.settings.stale.half_life_s * 1000.0)
        life = Survival(now, self.settings.stale.half_life_s * 1000.0, self.fleet)
        box = self.boxes[name] = Box(name, address, float(self.settings.per_box), life)
        box.grown = box.tokens_at = now
        box.started = started_ms or 0.0
        if started_ms:
            self.begin_cold(now, box, started_ms)
        elif started_ms is None and now > self.listed_at:  # it joined while we looked on
            self.begin_cold(now, box, now)
        if self.settings.warm_up_ms and now == self.listed_at and not self.cold(now, box):
            # Each gateway has an order of its own, so that those started together do not meet at one box.
            place = zlib.crc32(f"{self.seed}/{name}".encode()) / 2.0**32
            box.warm_at = now + place * self.settings.warm_up_ms

    def unlisted(self, name: str, cause: str = "unlisted") -> None:
        """A box drains or is gone: what is idle is closed now, what is in use after its answer."""
        box = self.boxes.pop(name, None)
        if box is None:
            return
        box.listed = False
        while box.idle:
            self.retire(box.idle[-1], cause)
        if box.open:
            self.leaving[id(box)] = box

    def begin_cold(self, now: float, box: Box, since: float) -> None:
        """A box has just started: its first connections come at a pace, and not from all gateways at once."""
        box.since = since
        if self.cold(now, box):
            # Spread over the time in which the pace gives each gateway one.
            box.tokens = 1.0 - self.random.random() * (1.0 if self.gateways > 1 else 0.0)
            box.tokens_at = now
            box.warm_at = NEVER

    def cold(self, now: float, box: Box) -> bool:
        """Tell whether a box is still warming up."""
        return bool(box.since) and now - box.since < self.cold_ms

    # Requests

    def take(self, now: float, name: str, free: bool) -> Link | Wait | No:
        """Give a connection for a request: an idle one, BUSY, or a new one, OPENING; or say to wait, or No.

        ``free`` tells that to run the request twice costs nothing: only such a one goes on a connection in doubt.
        """
        box = self.boxes.get(name)
        if box is None:
            return No.UNLISTED
        link = self.pick(now, box, free) if box.idle else None
        if link is not None:
            self.out_of_idle(link)
            link.state, link.idle_ms = State.BUSY, now - link.idle_since
            box.busy += 1
            if box.busy + box.opening > box.peak:
                box.peak = box.busy + box.opening
            return link
        rest = self.resting(now, box)
        box.missed, box.rests = box.missed + (not rest), box.rests + (rest > 0.0)
        hindered = Wait(rest, "resting") if rest else self.hindered(now, box)
        if hindered is not None:
            self.counts["waits." + hindered.cause] += 1
            return hindered
        link = self.begin(now, box, False)
        if box.busy + box.opening > box.peak:
            box.peak = box.busy + box.opening
        return link

    def pick(self, now: float, box: Box, free: bool) -> Link | None:
        """Choose among a box's idle connections; those that are not to be used again are retired on the way."""
        if now - box.looked > FRESH_MS:
            self.look(now, box)
        kept = min(box.kept_ms, box.hold_ms)
        while box.idle and now - box.idle[0].idle_since >= kept:  # the longest idle come first
            self.retire(box.idle[0], "idle")
        if not box.idle:
            return None
        sure = kept if free else min(kept, box.sure_ms)
        order = self.settings.reuse
        if order == "last_used":
            # One that will be wanted again, since as many were in use just now, is used before it grows too old:
            # left to die it would only have to be opened anew.
            oldest = box.idle[0]
            age = now - oldest.idle_since
            if (
                age > REFRESH * kept
                and age < sure
                and box.open <= max(box.peak, box.last_peak)
                and now < oldest.until
                and oldest.idle_since >= box.doubt
            ):
                return oldest
            candidates: Iterable[Link] = reversed(box.idle)
        elif order == "oldest":
            candidates = sorted(box.idle, key=lambda link: link.opened)
        else:
            candidates = sorted(box.idle, key=lambda link: link.uses)
        for link in candidates:
            if link.uses and now - link.idle_since < REST_MS:
                continue
            if now >= link.until:
                self.retire(link, "age")
                return self.pick(now, box, free)
            if now - link.idle_since >= sure:
                if order == "last_used":
                    return None  # all others have been idle for longer
                continue
            link.tried = link.idle_since < box.doubt
            if link.tried:
                if not free or box.trying:
                    continue
                box.trying = True
            return link
        return None

    def look(self, now: float, box: Box) -> None:
        """Draw the line anew between connections that are worth using and those that are not."""
        box.looked = now
        if box.survived and self.fleet is not None:  # the longest since the last look: the prior needs no more
            self.fleet.served(now, box.survived)
            box.survived = 0.0
        tolerance = self.settings.stale.tolerance
        told = min(self.idle_ms, IDLE_SHARE * box.hint_ms)
        box.kept_ms = min(told, box.life.limit(now, tolerance))
        # Unharmed uses at some idle time are what a request needs whose repeat is not free.
        sure = box.life.limit(now, 0.1 * tolerance, bold=False)
        box.sure_ms = min(sure, max(self.settings.stale.proven_ms, box.life.survived(now)))

    def resting(self, now: float, box: Box) -> float:
        """Give the ms after which a box's latest answered connection may be used, 0 where none is worth waiting for.

        A new connection costs its box work and takes longer than that; nor is the resting one to be closed for it.
        Where that happens often, another is opened, once, and then one that has rested is there.
        """
        left = REST_MS - (now - box.idle[-1].idle_since) if box.idle and box.idle[-1].uses else 0.0
        often = box.rests >= RESTS and box.open + 1 <= box.bound
        return max(1.0, left) if 0.0 < left and self.settings.wait_ms > REST_MS and not often else 0.0

    def hindered(self, now: float, box: Box) -> Wait | None:
        """Say why no connection to a box may be opened now, if so; makes room where that can be had."""
        if box.open + 1 > self.bound(now, box):
            while box.idle and box.open + 1 > box.bound:  # idle, and yet not to be used: by this request at least
                self.retire(box.idle[0], "bound")
            if box.open + 1 > box.bound:
                return Wait(RETRY_MS, "box_bound")
        if box.opening >= self.settings.opening_per_box or self.opening >= self.settings.opening:
            return Wait(RETRY_MS, "opening")
        if self.cold(now, box):
            if box.opening >= self.settings.cold.at_once:
                return Wait(RETRY_MS, "cold")
            rate = self.fill(now, box)
            if box.tokens < 1.0:
                return Wait(max(1.0, 1000.0 * (1.0 - box.tokens) / rate), "cold")
        if self.open + 1 > self.bound_of_all(now):
            oldest = next(iter(self.idle), None)
            if oldest is not None:
                self.retire(oldest, "room")
            if self.open + 1 > self.total:
                return Wait(RETRY_MS, "total")
        return None

    def bound(self, now: float, box: Box) -> float:
        """Give how many connections a box may have now; a bound that was cut grows by one a second."""
        most = self.settings.per_box
        if box.bound < most and now - box.grown >= GROW_MS:
            steps = int((now - box.grown) / GROW_MS)
            box.bound, box.grown = min(float(most), box.bound + steps), box.grown + steps * GROW_MS
        return box.bound

    def bound_of_all(self, now: float) -> float:
        """Give how many connections there may be in all."""
        if self.total < self.most and now - self.total_grown >= TOTAL_GROW_MS:
            steps = int((now - self.total_grown) / TOTAL_GROW_MS)
            self.total = min(float(self.most), self.total + steps)
            self.total_grown += steps * TOTAL_GROW_MS
        return self.total

    def fill(self, now: float, box: Box) -> float:
        """Bring a cold box's tokens up to date, and give this gateway's pace in connections a second."""
        warmth = min(1.0, max(0.0, (now - box.since) / self.cold_ms))
        rate = self.settings.cold.per_s * (1.0 + (RAMP - 1.0) * warmth) / self.gateways
        box.tokens = min(1.0, box.tokens + rate * (now - box.tokens_at) / 1000.0)
        box.tokens_at = now
        return rate

    def begin(self, now: float, box: Box, ahead: bool) -> Link:
        """Count a connection that the shell now begins to open."""
        link = Link(box, now, ahead)
        box.opening += 1
        self.opening += 1
        self.open += 1
        box.opens += 1
        if self.cold(now, box):
            box.tokens -= 1.0
            self.counts["opened.cold"] += 1
        box.most = max(box.most, box.open)
        self.counts["opened.ahead" if ahead else "opened.needed"] += 1
        if self.settings.max_age_s:
            link.until = now + 1000.0 * self.settings.max_age_s * self.jitter()
        if self.settings.max_uses:
            link.last_use = max(1, int(self.settings.max_uses * self.jitter()))
        return link

    def jitter(self) -> float:
        """Give a factor about one."""
        return 1.0 + SPREAD * (2.0 * self.random.random() - 1.0)

    # What happens to connections

    def opened(self, now: float, link: Link) -> None:
        """A connection has come up; it is BUSY with its request, or, opened ahead, about to be put away."""
        box = link.box
        box.opening -= 1
        self.opening -= 1
        box.busy += 1
        link.state = State.BUSY
        if box.dead_at:  # back from the dead: cold, though the list may not say so yet
            box.dead_at = 0.0
            self.begin_cold(now, box, now)

    def failed(self, now: float, link: Link, end: End) -> bool:
        """A connection did not come up. Tells whether that speaks of a box that is dead.

        A box that has just answered, on connections that are still there, and refuses another one holds as many
        as it wants: the bound falls to what it holds, and grows again by and by.
        """
        box = link.box
        box.opening -= 1
        self.close_counted(link)
        self.opening -= 1
        self.counts["failed." + end.value] += 1
        if end is End.OURS:
            self.total, self.total_grown = max(1.0, min(self.total, float(self.open))), now
            return False
        if end is End.LEFT:
            return False
        established = box.busy + len(box.idle)
        if end is End.RESET:
            self.cut(now, box, established)
            return False
        box.refusals = box.refusals + 1 if now - box.refused < ALIVE_MS else 1
        box.refused = now
        lives = established > 0 and now - box.answered < ALIVE_MS
        if end is End.REFUSED and lives and box.refusals < REFUSALS:
            self.cut(now, box, established)
            return False
        box.dead_at = now
        box.deaths.clear()  # those died of their box's end, not of lying idle
        box.hold_ms = NEVER
        while box.idle:
            self.retire(box.idle[-1], "dead")
        return True

    def cut(self, now: float, box: Box, established: int) -> None:
        """A box holds as many connections as it wants: lower the bound to fewer than it refused."""
        box.bound = max(1.0, min(CUT * self.bound(now, box), float(max(1, established))))
        box.grown = now
        self.counts["bound.cut"] += 1

    def answered(self, now: float, link: Link) -> None:
        """A whole answer came."""
        box = link.box
        box.answered, box.refusals = now, 0
        link.uses += 1
        if link.idle_ms >= 0.0:
            box.life.served(now, link.idle_ms)
            if link.idle_ms > box.survived:
                box.survived = link.idle_ms
        else:
            box.life.fresh_use(now, False)
        if link.ahead and box.wasted:
            box.wasted -= 1
        link.ahead = False
        if link.tried:  # one of those in doubt serves: the box was slow, the connections are not dead
            box.doubt, box.trying, link.tried = 0.0, False, False

    def broke(self, now: float, link: Link) -> None:
        """A connection broke under a request before anything came back; it had died, or its box has."""
        box = link.box
        if self.box_ended(now, box, box.busy + len(box.idle) - 1):
            return
        if link.idle_ms < 0.0:
            box.life.fresh_use(now, True)
            if box.busy + len(box.idle) > 1 and now - box.answered < ALIVE_MS:
                self.cut(now, box, box.busy + len(box.idle) - 1)  # taken and then ended: one too many
            return
        box.stale += 1
        self.counts["stale"] += 1
        self.died(now, box, link.idle_ms, False)
        if link.tried:
            self.drop_doubtful(box)

    def drop_doubtful(self, box: Box) -> None:
        """One of the connections in doubt proved dead: so, as far as can be told, are the others."""
        while box.idle and box.idle[0].idle_since < box.doubt:
            self.retire(box.idle[0], "doubt")

    def died(self, now: float, box: Box, idle_ms: float, seen: bool) -> None:
        """Keep a death until it can be told whether the whole box ended; meanwhile none as old is used."""
        box.deaths.append((now, idle_ms, seen))
        box.hold_ms = min(box.hold_ms, max(FLOOR_MS, idle_ms))

    def box_ended(self, now: float, box: Box, left: int) -> bool:
        """Tell whether a box itself has ended, now that another connection did and so many are left.

        What is there when it is back, or in its place, is cold, however late the list says so; and its
        connections tell nothing of how long it keeps idle ones.
        """
        if now - box.ends_at > SETTLE_MS:
            box.ends, box.ends_at = 0, now
        box.ends += 1
        if left or box.ends < ALL_AT_ONCE:
            return False
        self.counts["boxes.ended"] += 1
        box.deaths.clear()
        box.hold_ms = NEVER
        self.begin_cold(now, box, now)
        return True

    def silent(self, now: float, link: Link) -> None:
        """A request on a connection timed out without a byte: slow box or dead connection, nobody can tell.

        Its siblings that lay idle meanwhile may be as dead: they are tried one at a time. Where the box has
        answered on other connections meanwhile, the connection was dead.
        """
        box = link.box
        if link.idle_ms < 0.0:
            return
        taken = link.idle_since + link.idle_ms
        if box.answered > taken:
            self.counts["stale"] += 1
            box.stale += 1
            self.died(now, box, link.idle_ms, False)
        if link.tried:
            self.drop_doubtful(box)
        else:
            box.doubt = max(box.doubt, taken)
            self.counts["doubted"] += 1

    def told(self, link: Link, timeout_s: float) -> None:
        """A box said how long it keeps idle connections (``Keep-Alive: timeout=``)."""
        link.box.hint_ms = 1000.0 * timeout_s
        link.box.looked = -NEVER

    def put(self, now: float, link: Link, keep: bool, cause: str = "spent") -> bool:
        """A connection is free again; False where it is not kept, and the shell closes it."""
        box = link.box
        box.busy -= 1
        if link.tried:
            box.trying, link.tried = False, False
        if not box.listed:
            cause, keep = "unlisted", False
        elif not keep:
            pass
        elif now >= link.until:
            cause, keep = "age", False
        elif link.last_use and link.uses >= link.last_use:
            cause, keep = "uses", False
        elif box.open + 1 > box.bound or self.open > self.total:  # its box no longer counts this one
            cause, keep = "bound", False
        if not keep:
            self.close_counted(link)
            self.counts["retired." + cause] += 1
            return False
        link.state, link.idle_since, link.idle_ms = State.IDLE, now, -1.0
        box.idle.append(link)
        self.idle[link] = None
        return True

    def closed(self, now: float, link: Link) -> None:
        """An idle connection was ended by its box."""
        if link.state is not State.IDLE:
            return
        box = link.box
        self.take_out(link, "closed")
        self.unused(now, link)
        if not self.box_ended(now, box, box.busy + len(box.idle)):
            self.died(now, box, now - link.idle_since, True)

    def spoilt(self, now: float, link: Link) -> None:
        """Something came on an idle connection that nobody had asked for: it is not used again, and tells no more."""
        if link.state is State.IDLE:
            self.take_out(link, "spoilt")
            self.unused(now, link)

    def found_closed(self, now: float, link: Link) -> None:
        """A connection just taken was seen to be closed before anything was written to it."""
        box = link.box
        box.busy -= 1
        if link.tried:
            box.trying, link.tried = False, False
        self.close_counted(link)
        self.counts["retired.closed"] += 1
        if not self.box_ended(now, box, box.busy + len(box.idle)):
            self.died(now, box, link.idle_ms, False)

    # Retiring

    def retire(self, link: Link, cause: str) -> None:
        """Take an idle connection out for good; the shell finds it in ``closing``."""
        self.take_out(link, cause)
        self.closing.append((link, cause))

    def take_out(self, link: Link, cause: str) -> None:
        """Count an idle connection out, and why."""
        self.out_of_idle(link)
        self.close_counted(link)
        self.counts["retired." + cause] += 1

    def out_of_idle(self, link: Link) -> None:
        """Take a connection out of the idle ones."""
        idle = link.box.idle
        if idle[-1] is link:
            idle.pop()
        elif idle[0] is link:
            del idle[0]
        else:
            idle.remove(link)
        del self.idle[link]

    def close_counted(self, link: Link) -> None:
        """Count a connection out."""
        link.state = State.CLOSED
        self.open -= 1
        if not link.box.listed and not link.box.open:
            self.leaving.pop(id(link.box), None)

    def unused(self, now: float, link: Link) -> None:
        """Learn from a connection that was opened ahead and never used: pause, longer each time."""
        if link.ahead and not link.uses:
            box = link.box
            box.ahead_from = now + min(PAUSE_MOST_MS, PAUSE_MS * 2.0 ** min(10, box.wasted))
            box.wasted += 1
            self.counts["ahead.wasted"] += 1

    # From time to time

    def tick(self, now: float) -> list[Link]:
        """Retire what has lain idle too long, look at deaths, and give the connections to open ahead."""
        new_window = now - self.windowed >= WINDOW_MS
        if new_window:
            self.windowed = now
        ahead: list[Link] = []
        looks = LOOKS
        for box in self.boxes.values():
            if box.deaths and now - box.deaths[0][0] >= SETTLE_MS:
                self.settle(now, box)
            if box.idle:
                if looks and now - box.looked > FRESH_MS:
                    looks -= 1
                    self.look(now, box)
                while box.idle and now - box.idle[0].idle_since >= box.kept_ms:
                    self.unused(now, box.idle[0])
                    self.retire(box.idle[0], "idle")
            if box.warm_at <= now:
                box.warm_at = NEVER
                if not box.open and self.hindered(now, box) is None:
                    ahead.append(self.begin(now, box, True))
            elif box.missed > 1 and self.settings.ahead:  # one miss is a first use, or chance
                self.open_ahead(now, box, ahead)
            if new_window:
                box.last_peak, box.peak, box.missed, box.rests = box.peak, box.busy + box.opening, 0, 0
        return ahead

    def open_ahead(self, now: float, box: Box, ahead: list[Link]) -> None:
        """Open a spare beyond a box's recent use, where requests had to wait for new connections."""
        if now < box.ahead_from or box.dead_at or box.kept_ms < WORTH_MS or self.cold(now, box):
            return
        wanted = max(box.peak, box.last_peak) + self.settings.ahead
        if box.open + 1 > min(wanted, self.bound(now, box)) or self.open + 1 > self.bound_of_all(now):
            return
        if self.hindered(now, box) is None:
            ahead.append(self.begin(now, box, True))

    def settle(self, now: float, box: Box) -> None:
        """Learn from deaths that came together: of one idle limit, or of the box's own end."""
        ages = [max(1.0, idle_ms) for _, idle_ms, _ in box.deaths]
        whole = len(ages) > 2 and max(ages) > ALIKE * min(ages) and box.deaths[-1][0] - box.deaths[0][0] < SETTLE_MS
        if whole and now - box.answered > SETTLE_MS:  # all at once, of whatever age, and nothing since
            self.counts["deaths.of_box"] += len(ages)
        else:
            for when, idle_ms, seen in box.deaths:
                (box.life.closed if seen else box.life.broke)(when, idle_ms)
                if self.fleet is not None:
                    (self.fleet.closed if seen else self.fleet.broke)(when, idle_ms)
        box.deaths.clear()
        box.hold_ms = NEVER
        box.looked = -NEVER

    # For people

    def snapshot(self, now: float, most: int = 8) -> list[str]:
        """Give the state in lines: all, then the boxes with most connections."""
        idle = len(self.idle)
        lines = [
            f"links open={self.open} idle={idle} opening={self.opening} bound={self.bound_of_all(now):g} "
            + " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
        ]
        for box in sorted(self.boxes.values(), key=lambda box: (-box.open, box.id))[:most]:
            low, high = box.life.interval(now)
            told = "untold" if high == NEVER else f"{high / 1000.0:.2f}s"
            lines.append(
                f"links box={box.id} busy={box.busy} idle={len(box.idle)} opening={box.opening} most={box.most} "
                f"bound={self.bound(now, box):g} opened={box.opens} stale={box.stale} "
                f"limit={low / 1000.0:.2f}s..{told} cold={int(self.cold(now, box))}"
            )
        return lines
