"""Carries out membership on sockets: words in and out, turns by the clock, boxes left out, changes told in the log."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import ujson

from petrelhall.boxes.fleet import Fleet
from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.peers import Peers
from petrelhall.members.boxes import Boxes
from petrelhall.members.core import Changed, Dropped, Event, Heard, Leave, Members, Quiet, Send, Sign, Tick
from petrelhall.members.plan import LOOK_MS, pace
from petrelhall.members.words import KIND
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, now_ms
from petrelhall.operator.settings import Membership as Settings

POOL_MS = 250.0  # between two counts of witnesses against boxes
BAD = {Ending.ERROR, Ending.RESET, Ending.TIMEOUT}
GOOD = {Ending.OK}
LINES_PER_S = 200  # of changes told in the log; more are counted


class Membership:
    """One gateway's part in knowing the others; not there where the operators' file does not ask for it."""

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        settings: Settings,
        platform: api.Settings,
        name: str,
        seed: int,
        fleet: Fleet,
        tell: Callable[[api.ServerList], None],
        ready: Callable[[], bool],
        counts: Counts,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.peers, self.fleet, self.tell = loop, peers, fleet, tell
        self.ready, self.counts, self.log = ready, counts, log
        now = now_ms()
        paces = pace(platform.gateways, platform.peer_messages_per_s, settings.share, settings.late_ms)
        # A start's life: later starts have later ones, as far as the machine's clock goes on between them.
        self.core = Members(platform.position, math.floor(now / 100.0), paces, seed, now)
        self.core.quiet = True  # until this process takes clients: the one before speaks while it does
        self.ended = False
        self.names = {number: f"{host}:{port}" for number, (host, port) in enumerate(peers.peers)}
        self.names[platform.position] = name
        self.boxes = Boxes(settings.boxes_out) if settings.boxes_out else None
        self.pooled = now
        self.lines, self.second = 0, 0
        peers.datagram_handlers[KIND] = lambda number, content: self.handle(Heard(number, content))
        peers.on_module_datagram = lambda number: self.handle(Sign(number))
        loop.after(LOOK_MS, self.look)
        self.say({"number": self.core.number, "state": "here", "life": self.core.life, "why": "started"})

    def look(self) -> None:
        """Take a turn by the clock."""
        if self.ended:
            return
        self.loop.after(LOOK_MS, self.look)
        if self.core.quiet and self.ready():
            self.core.quiet = False
        self.handle(Tick())
        now = now_ms()
        if self.boxes is not None and now - self.pooled >= POOL_MS:
            self.pooled = now
            self.pool(now, self.boxes)

    def handle(self, event: Event) -> None:
        """Give the core an event and do as it says."""
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, Send):
                self.peers.send(action.content, () if action.to is None else (action.to,))
                self.counts.add("members", "words")
            elif isinstance(action, Dropped):
                self.counts.add("members", f"dropped_{action.why}")
            else:
                self.counts.add("members", action.state)
                self.say(self.told(action))

    def told(self, change: Changed) -> dict[str, Any]:
        """Word a change."""
        return {"number": change.number, "state": change.state, "life": change.life, "why": change.why}

    def say(self, line: dict[str, Any]) -> None:
        """Write a change as a line of JSON, so many a second at most."""
        now = now_ms()
        if int(now / 1000.0) != self.second:
            self.second, self.lines = int(now / 1000.0), 0
        self.lines += 1
        if self.lines > LINES_PER_S:
            return self.counts.add("members", "lines_dropped")
        told = ujson.dumps({"at_ms": round(now), "self": self.core.life, **line}, escape_forward_slashes=False)
        self.log(f"member {told}")

    def reachable(self, number: int) -> bool:
        """Tell whether it makes sense to ask a member anything: one that is heard both ways, or nobody is yet."""
        return number in self.core.side or len(self.core.side) == 1

    def leave(self) -> None:
        """Tell the others that this process ends."""
        if not self.core.quiet:
            self.handle(Leave())

    def hand_over(self) -> None:
        """A newer process of this member speaks from now on."""
        self.handle(Quiet())
        self.ended = True

    def view(self) -> dict[str, Any]:
        """Give what this gateway knows, for ``GET /control/members``."""
        out = sorted(self.boxes.out) if self.boxes is not None else []
        return {**self.core.view(now_ms(), self.names), "boxes_left_out": out}

    # Boxes

    def saw(self, box: str, ending: Ending) -> None:
        """Take note of how an attempt at a box ended."""
        if self.boxes is not None and (ending in BAD or ending in GOOD):
            self.boxes.saw(now_ms(), box, ending in BAD)

    def pool(self, now: float, boxes: Boxes) -> None:
        """Say what this gateway finds bad, count the witnesses, and leave out what enough of them accuse."""
        own = boxes.found(now)
        self.core.accuse(own)
        before = boxes.out
        out = boxes.pool(now, self.fleet.healthy | before, self.core.accusers(now), own, self.core.pace.observers)
        if out != before:
            self.fleet.left_out = out
            for box in sorted(out ^ before):
                self.counts.add("members", "boxes_left_out" if box in out else "boxes_back")
                self.say({"box": box, "state": "left out" if box in out else "back"})
            self.tell(self.fleet.relabel())
