"""Which connection a request goes on, and what is opened, kept and retired. Pure: the time is handed in.

The decision module picks the server; this core picks the connection. It holds no socket: a shell (``links.pool``)
tells it of what happens to connections, asks it for one, and carries out what it lists in ``closing``. Every
connection is a ``Link`` from the moment that it begins to come up until it is closed, and counts against the
bounds for all that time. Each of the plan's jobs has a module: ``inventory`` counts connections, ``bounds`` says how
many there may be, ``slow_start`` at which pace they come, ``opening`` which are begun, ``reuse`` which idle one is
taken, ``staleness`` how long they are kept.
"""

from __future__ import annotations

import random
import zlib

from petrelhall.links.bounds import Bounds
from petrelhall.links.connection import End, Link, No, State, Wait
from petrelhall.links.inventory import Inventory
from petrelhall.links.limits import NEVER
from petrelhall.links.opening import ConnectionOpener
from petrelhall.links.reuse import ESTIMATE_MAX_AGE_MS, ReusePolicy
from petrelhall.links.server import Box
from petrelhall.links.slow_start import SlowStart
from petrelhall.links.staleness import DEATH_SPAN_MS, StalenessTracker
from petrelhall.operator.settings import Links

__all__ = ["Box", "End", "Link", "No", "Plan", "State", "Wait"]

ALIVE_MS = 1500.0  # after an answer in which a server is held to live, though it refused a connection
REFUSALS = 3  # in a row, without an answer between, after which a server that lived is taken for dead
LOOKS = 64  # of those in one tick, so that thousands of servers don't hold up serving
WINDOW_MS = 1000.0  # in which the peak of a server's use is taken


class Plan:
    """The connections of one gateway. ``closing`` holds what is to be closed, with the cause, until it is taken."""

    def __init__(
        self, settings: Links, room: int, idle_ms: float, cold_ms: float = 0.0, gateways: int = 1, seed: int = 0
    ) -> None:
        draw = random.Random(seed)
        self.seed = seed
        self.boxes: dict[str, Box] = {}
        self.windowed = 0.0
        self.listed_at = 0.0
        self.inventory = inventory = Inventory()
        self.bounds = Bounds(settings, room, inventory)
        self.slow_start = SlowStart(settings, cold_ms, max(1, gateways), draw)
        self.staleness = StalenessTracker(settings, idle_ms, inventory, self.slow_start)
        self.reuse = ReusePolicy(settings.reuse, inventory, self.staleness)
        self.opener = ConnectionOpener(settings, inventory, self.bounds, self.slow_start, draw)
        # The same objects as the inventory's and the methods themselves, since shells use them for each request.
        self.idle, self.closing = inventory.idle, inventory.closing
        self.leaving, self.counts = inventory.leaving, inventory.counts
        self.cold, self.bound = self.slow_start.cold, self.bounds.bound
        self.configure(settings)

    @property
    def open(self) -> int:
        """Give how many connections there are."""
        return self.inventory.open

    @property
    def opening(self) -> int:
        """Give how many connections are coming up."""
        return self.inventory.opening

    def configure(self, settings: Links) -> None:
        """Take other settings over. What is open beyond new bounds is closed as it comes free."""
        self.settings = self.opener.settings = settings
        self.reuse.order = settings.reuse
        self.bounds.configure(settings)
        self.slow_start.configure(settings)
        self.staleness.configure(settings)
        for box in self.boxes.values():
            box.bound = float(settings.per_box)
            box.looked = -NEVER
            while box.idle and box.open > settings.per_box:
                self.inventory.retire(box.idle[0], "bound")
        while self.idle and self.inventory.open > self.bounds.most:
            self.inventory.retire(next(iter(self.idle)), "bound")

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
                    self.slow_start.begin(now, box, started_ms)
                for link in [link for link in box.idle if link.opened < started_ms]:
                    self.inventory.retire(link, "restarted")
            return
        if box is not None:
            self.unlisted(name, "moved")
        if not self.listed_at:
            self.listed_at = now
        survival = self.staleness.initial_estimate(now)
        box = self.boxes[name] = Box(name, address, float(self.settings.per_box), survival)
        box.grown = box.tokens_at = now
        box.started = started_ms or 0.0
        if started_ms:
            self.slow_start.begin(now, box, started_ms)
        elif started_ms is None and now > self.listed_at:  # it joined while we looked on
            self.slow_start.begin(now, box, now)
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
            self.inventory.retire(box.idle[-1], cause)
        if box.open:
            self.leaving[id(box)] = box

    # Requests

    def take(self, now: float, name: str, free: bool) -> Link | Wait | No:
        """Give a connection for a request: an idle one, BUSY, or a new one, OPENING; or say to wait, or No.

        ``free`` tells that to run the request twice costs nothing: only such a one goes on a connection in doubt.
        """
        box = self.boxes.get(name)
        if box is None:
            return No.UNLISTED
        link = self.reuse.pick(now, box, free) if box.idle else None
        if link is not None:
            self.inventory.out_of_idle(link)
            link.state, link.idle_ms = State.BUSY, now - link.idle_since
            box.busy += 1
            if box.busy + box.opening > box.peak:
                box.peak = box.busy + box.opening
            return link
        rest = self.reuse.reuse_delay_left_ms(now, box, self.settings.wait_ms)
        box.missed, box.rests = box.missed + (not rest), box.rests + (rest > 0.0)
        hindered = Wait(rest, "resting") if rest else self.opener.required_wait(now, box)
        if hindered is not None:
            self.counts["waits." + hindered.cause] += 1
            return hindered
        link = self.opener.begin(now, box, False)
        if box.busy + box.opening > box.peak:
            box.peak = box.busy + box.opening
        return link

    # What happens to connections

    def opened(self, now: float, link: Link) -> None:
        """A connection has come up; it is BUSY with its request, or, opened ahead, about to be put away."""
        box = link.box
        box.opening -= 1
        self.inventory.opening -= 1
        box.busy += 1
        link.state = State.BUSY
        if box.dead_at:  # back from the dead: cold, though the list may not say so yet
            box.dead_at = 0.0
            self.slow_start.begin(now, box, now)

    def failed(self, now: float, link: Link, end: End) -> bool:
        """A connection did not come up. Tells whether that speaks of a box that is dead.

        A box that has just answered, on connections that are still there, and refuses another one holds as many
        as it wants: the bound falls to what it holds, and grows again by and by.
        """
        box = link.box
        box.opening -= 1
        self.inventory.close_counted(link)
        self.inventory.opening -= 1
        self.counts["failed." + end.value] += 1
        if end is End.OURS:
            self.bounds.lower_total(now)
            return False
        if end is End.LEFT:
            return False
        established = box.busy + len(box.idle)
        if end is End.RESET:
            self.bounds.lower(now, box, established)
            return False
        box.refusals = box.refusals + 1 if now - box.refused < ALIVE_MS else 1
        box.refused = now
        lives = established > 0 and now - box.answered < ALIVE_MS
        if end is End.REFUSED and lives and box.refusals < REFUSALS:
            self.bounds.lower(now, box, established)
            return False
        box.dead_at = now
        box.deaths.clear()  # those died of their box's end, not of lying idle
        box.hold_ms = NEVER
        while box.idle:
            self.inventory.retire(box.idle[-1], "dead")
        return True

    def answered(self, now: float, link: Link) -> None:
        """A whole answer came."""
        box = link.box
        box.answered, box.refusals = now, 0
        link.uses += 1
        if link.idle_ms >= 0.0:
            box.survival.record_served(now, link.idle_ms)
            if link.idle_ms > box.survived:
                box.survived = link.idle_ms
        else:
            box.survival.record_fresh_use(now, False)
        if link.ahead and box.wasted:
            box.wasted -= 1
        link.ahead = False
        if link.tried:  # one of those in doubt serves: the box was slow, the connections are not dead
            box.doubt, box.trying, link.tried = 0.0, False, False

    def broke(self, now: float, link: Link) -> None:
        """A connection broke under a request before anything came back; it had died, or its box has."""
        box = link.box
        if self.staleness.detect_server_end(now, box, box.busy + len(box.idle) - 1):
            return
        if link.idle_ms < 0.0:
            box.survival.record_fresh_use(now, True)
            if box.busy + len(box.idle) > 1 and now - box.answered < ALIVE_MS:
                self.bounds.lower(now, box, box.busy + len(box.idle) - 1)  # taken and then ended: one too many
            return
        box.stale += 1
        self.counts["stale"] += 1
        self.staleness.record_death(now, box, link.idle_ms, False)
        if link.tried:
            self.staleness.retire_suspected(box)

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
            self.staleness.record_death(now, box, link.idle_ms, False)
        if link.tried:
            self.staleness.retire_suspected(box)
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
        elif box.open + 1 > box.bound or self.inventory.open > self.bounds.total:  # its box no longer counts this one
            cause, keep = "bound", False
        if not keep:
            self.inventory.close_counted(link)
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
        self.inventory.take_out(link, "closed")
        self.opener.record_unused(now, link)
        if not self.staleness.detect_server_end(now, box, box.busy + len(box.idle)):
            self.staleness.record_death(now, box, now - link.idle_since, True)

    def spoilt(self, now: float, link: Link) -> None:
        """Something came on an idle connection that nobody had asked for: it is not used again, and tells no more."""
        if link.state is State.IDLE:
            self.inventory.take_out(link, "spoilt")
            self.opener.record_unused(now, link)

    def found_closed(self, now: float, link: Link) -> None:
        """A connection just taken was seen to be closed before anything was written to it."""
        box = link.box
        box.busy -= 1
        if link.tried:
            box.trying, link.tried = False, False
        self.inventory.close_counted(link)
        self.counts["retired.closed"] += 1
        if not self.staleness.detect_server_end(now, box, box.busy + len(box.idle)):
            self.staleness.record_death(now, box, link.idle_ms, False)

    # From time to time

    def tick(self, now: float) -> list[Link]:
        """Retire what has lain idle too long, look at deaths, and give the connections to open ahead."""
        new_window = now - self.windowed >= WINDOW_MS
        if new_window:
            self.windowed = now
        ahead: list[Link] = []
        looks = LOOKS
        for box in self.boxes.values():
            if box.deaths and now - box.deaths[0][0] >= DEATH_SPAN_MS:
                self.staleness.evaluate_deaths(now, box)
            if box.idle:
                if looks and now - box.looked > ESTIMATE_MAX_AGE_MS:
                    looks -= 1
                    self.staleness.refresh_limits(now, box)
                while box.idle and now - box.idle[0].idle_since >= box.kept_ms:
                    self.opener.record_unused(now, box.idle[0])
                    self.inventory.retire(box.idle[0], "idle")
            if box.warm_at <= now:
                box.warm_at = NEVER
                if not box.open and self.opener.required_wait(now, box) is None:
                    ahead.append(self.opener.begin(now, box, True))
            elif box.missed > 1 and self.settings.ahead:  # one miss is a first use, or chance
                self.opener.preconnect(now, box, ahead)
            if new_window:
                box.last_peak, box.peak, box.missed, box.rests = box.peak, box.busy + box.opening, 0, 0
        return ahead

    # For people

    def snapshot(self, now: float, most: int = 8) -> list[str]:
        """Give the state in lines: all, then the boxes with most connections."""
        idle = len(self.idle)
        lines = [
            f"links open={self.inventory.open} idle={idle} opening={self.inventory.opening} "
            f"bound={self.bounds.total_bound(now):g} "
            + " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
        ]
        for box in sorted(self.boxes.values(), key=lambda box: (-box.open, box.id))[:most]:
            low, high = box.survival.limit_bounds_ms(now)
            told = "untold" if high == NEVER else f"{high / 1000.0:.2f}s"
            lines.append(
                f"links box={box.id} busy={box.busy} idle={len(box.idle)} opening={box.opening} most={box.most} "
                f"bound={self.bound(now, box):g} opened={box.opens} stale={box.stale} "
                f"limit={low / 1000.0:.2f}s..{told} cold={int(self.cold(now, box))}"
            )
        return lines
