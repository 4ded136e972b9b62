"""Boxes that several gateways find bad by their own attempts are left alone by all, for a while. Pure.

A gateway finds a box bad where, of at least ``LEAST`` attempts in the last ``WINDOW_MS`` to twice that, ``BAD`` or more
ended badly. It says so in its words; whoever hears it counts witnesses: members of its own side, each at first hand and
lately, none of them away, and itself. One liar, one stalled or one cut-off gateway is one witness at most, and two at
least are needed. What all witnesses together can take from the fleet is bounded by a share of the boxes, and each box
comes back by itself: whoever leaves it out learns nothing new of it.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

WINDOW_MS, LEAST, BAD = 3000.0, 4, 0.5
HOLD_MS, HOLD_MOST_MS = 5000.0, 40000.0  # for which a box is left out; twice as long each time in a row
RELAPSE = 3.0  # times its hold after which a box that behaved begins anew
MOST_BOXES = 8192  # of which tallies are kept


def code(box: str) -> int:
    """Give the hash by which gateways name a box to each other."""
    return zlib.crc32(box.encode())


@dataclass(slots=True)
class Tally:
    """A box's attempts in this window and the one before."""

    begun: float
    good: int = 0
    bad: int = 0
    good_before: int = 0
    bad_before: int = 0

    def turn(self, now: float) -> None:
        """Begin a new window where the present one is over."""
        if now - self.begun >= WINDOW_MS:
            fresh = now - self.begun < 2.0 * WINDOW_MS
            self.good_before, self.bad_before = (self.good, self.bad) if fresh else (0, 0)
            self.good = self.bad = 0
            self.begun = now


@dataclass(slots=True)
class Hold:
    """A box that is or was left out."""

    until: float
    length: float


class Boxes:
    """One gateway's own findings, and what the gateways together leave out."""

    def __init__(self, share: float) -> None:
        self.share = share  # of the listed boxes that may be left out at a time, at most
        self.tallies: dict[str, Tally] = {}
        self.holds: dict[str, Hold] = {}
        self.out: frozenset[str] = frozenset()

    def saw(self, now: float, box: str, bad: bool) -> None:
        """Take note of how an attempt ended."""
        tally = self.tallies.get(box)
        if tally is None:
            if len(self.tallies) >= MOST_BOXES:
                self.tallies.clear()
            tally = self.tallies[box] = Tally(now)
        tally.turn(now)
        if bad:
            tally.bad += 1
        else:
            tally.good += 1

    def found(self, now: float) -> tuple[str, ...]:
        """Give the boxes that this gateway finds bad, the worst first."""
        rows = []
        for box, tally in list(self.tallies.items()):
            tally.turn(now)
            bad, good = tally.bad + tally.bad_before, tally.good + tally.good_before
            if not bad + good:
                del self.tallies[box]
            elif bad + good >= LEAST and bad >= BAD * (bad + good):
                rows.append((-bad, box))
        return tuple(box for _, box in sorted(rows))

    def pool(
        self, now: float, listed: Iterable[str], said: Mapping[int, Iterable[int]], own: Iterable[str], witnesses: int
    ) -> frozenset[str]:
        """Give the boxes to be left out. ``said``: by each trustworthy member, the codes it accuses."""
        boxes = list(listed)
        counted: dict[int, int] = {}
        for codes in [*said.values(), [code(box) for box in own]]:
            for each in set(codes):
                counted[each] = counted.get(each, 0) + 1
        present = set(boxes)
        self.holds = {
            box: hold for box, hold in self.holds.items() if box in present and now < hold.until + RELAPSE * hold.length
        }
        out = {box for box, hold in self.holds.items() if now < hold.until}
        room = int(self.share * len(boxes)) - len(out)
        accused = sorted(
            (-counted[code(box)], box) for box in boxes if box not in out and counted.get(code(box), 0) >= witnesses
        )
        for _, box in accused[: max(0, room)]:
            before = self.holds.get(box)
            length = min(HOLD_MOST_MS, 2.0 * before.length) if before is not None else HOLD_MS
            self.holds[box] = Hold(now + length, length)
            self.tallies.pop(box, None)  # when it comes back it is judged by what it does then
            out.add(box)
        self.out = frozenset(out)
        return self.out
