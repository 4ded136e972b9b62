"""Carries out a move between two pools: labels boxes and requests, and tells the core how attempts end."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable

import ujson
import xxhash

from petrelhall.boxes.fleet import Fleet
from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.peers import SHIFT
from petrelhall.gateway.requests import Request
from petrelhall.links.attempt import Result
from petrelhall.links.plan import Plan
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Timer, now_ms
from petrelhall.operator.settings import Shift
from petrelhall.shift.judge import Answer
from petrelhall.shift.move import Mover, State, Turn
from petrelhall.shift.plan import PoolError, Pools, side

LOOK_MS = 250.0
WORD = struct.Struct("<cIBBff")  # SHIFT, the move's digest, state, step, logs of the wealth on slower and on errors
WORD_MS = 1000.0
TOLD = {Ending.OK, Ending.ERROR, Ending.RESET, Ending.TIMEOUT, Ending.FULL, Ending.CONNECT_FAILED}
STATES = list(State)


class Shifter:
    """One gateway's part in the operators' move; does nothing where they have set none."""

    def __init__(
        self,
        loop: Loop,
        fleet: Fleet,
        plan: Plan,
        tell: Callable[[api.Event], None],
        counts: Counts,
        log: Callable[[str], None],
        classes: tuple[str, ...],
        plans: tuple[str, ...],
    ) -> None:
        self.loop, self.fleet, self.plan, self.tell, self.counts, self.log = loop, fleet, plan, tell, counts, log
        self.classes, self.plans = classes, plans
        self.settings: Shift | None = None
        self.named: Pools | None = None
        self.mover: Mover | None = None
        self.timer: Timer | None = None
        self.complained: set[str] = set()
        self.labels: dict[str, str | None] = {}  # of each box, as it was last listed
        self.to_peers: Callable[[bytes], None] | None = None
        self.spoken = 0.0
        self.record: list[str] | None = None  # judged answers, until they are written

    # Settings

    def configure(self, settings: Shift | None) -> None:
        """Take the operators' settings; a move of another name begins anew, none ends it."""
        if settings == self.settings:
            return
        before, self.settings = self.mover, settings
        self.named = Pools(settings) if settings is not None else None
        self.fleet.label = self.label if self.named is not None else (lambda entry: "")
        self.complained.clear()
        self.labels.clear()
        move = settings.move if settings is not None else None
        if move is None:
            self.mover = None
        elif before is not None and (before.move.name, before.move.source, before.move.target) == (
            move.name,
            move.source,
            move.target,
        ):
            before.told(move)
        else:
            self.mover = Mover(move, max(1, len(self.classes)))
        if self.fleet.entries:
            self.tell(self.fleet.relabel())
        if self.timer is None and self.mover is not None:
            self.look()

    def label(self, entry: dict[str, object]) -> str | None:
        """Name a box's pool; one that is in none or in two is not used, and told of once."""
        assert self.named is not None
        name = str(entry.get("id"))
        try:
            pool = self.labels[name] = self.named.of(entry)
            return pool
        except PoolError as error:
            self.labels[name] = None
            if name not in self.complained:
                self.counts.add("shift", "boxes_in_no_pool")
                self.complained.add(name)
                self.log(f"shift: {error}; it is not used")
            return None

    # Requests

    def pools(self, request: Request) -> tuple[str, ...]:
        """Give the pools that a request may go to, in order."""
        mover = self.mover
        if mover is None:
            return ()
        return side(
            mover.move,
            mover.wanted,
            request.customer,
            request.request_id.decode("latin-1"),
            self.classes[request.request_class],
            self.plans[request.plan],
        ).pools

    def ended(self, request: Request, pools: tuple[str, ...], server: str, result: Result, took_ms: float) -> None:
        """Take in how a first attempt ended. What spilt, or met a cold box, compares with nothing."""
        mover = self.mover
        box = self.plan.boxes.get(server)
        if mover is None or not pools or server not in self.labels or result.ending not in TOLD:
            return
        move, pool = mover.move, self.labels[server]
        self.counts.add("shift", f"attempts_{pool}")
        if pool != pools[0]:
            self.counts.add("shift", "spilt")
            return
        now = now_ms()
        if box is not None and self.plan.cold(now, box):
            self.counts.add("shift", "cold_left_out")
            return
        names = self.classes[request.request_class], self.plans[request.plan]
        out = move.leave_out
        if names[0] in out.classes or names[1] in out.plans or request.customer in out.districts:
            return
        kind = names[0], names[1], round(math.log2(max(1e-3, request.units)))
        error = result.ending not in (Ending.OK, Ending.TIMEOUT)
        answer = Answer(kind, took_ms, error, result.ending is Ending.TIMEOUT, request.customer)
        mover.answer(now, answer, pool == move.target)
        if self.record is not None:
            self.record.append(
                ujson.dumps(
                    {
                        "at_ms": now,
                        "target": pool == move.target,
                        "kind": kind,
                        "latency_ms": took_ms,
                        "error": error,
                        "censored": answer.censored,
                        "district": request.customer,
                    }
                )
            )

    # Time

    def look(self) -> None:
        """Let the core go on, and tell people and peers."""
        mover = self.mover
        if mover is None:
            self.timer = None
            return
        self.timer = self.loop.after(LOOK_MS, self.look)
        self.write_record(mover)
        now = now_ms()
        if len(self.labels) > 2 * len(self.fleet.entries) + 100:  # boxes that have gone for good
            self.labels = {name: pool for name, pool in self.labels.items() if name in self.fleet.entries}
        pools = {self.labels.get(name) for name in self.fleet.healthy}
        ready = mover.move.source in pools and mover.move.target in pools
        turns = mover.look(now, now / 1000.0, ready)
        for turn in turns:
            self.note(mover, turn)
        if self.to_peers is not None and (turns or now - self.spoken >= WORD_MS):
            self.spoken = now
            self.to_peers(
                WORD.pack(
                    SHIFT,
                    digest(mover),
                    STATES.index(mover.state),
                    mover.step,
                    clip(mover.judge.all.slower.log),
                    clip(mover.judge.all.errs.log),
                )
            )

    def write_record(self, mover: Mover) -> None:
        """Append what was judged to the operators' file, where they want that."""
        if not mover.move.record:
            self.record = None
            return
        if self.record:
            try:
                with open(mover.move.record, "a") as file:
                    file.write("\n".join(self.record) + "\n")
            except OSError as error:
                self.counts.add("shift", "record_failed")
                self.log(f"shift: cannot record: {error.strerror}")
        self.record = []

    def note(self, mover: Mover, turn: Turn) -> None:
        """Log one change as one line of JSON."""
        self.counts.add("shift", f"turns_{turn.state.value}")
        self.log(
            "shift "
            + ujson.dumps(
                {
                    "move": mover.move.name,
                    "state": turn.state.value,
                    "share": round(turn.share, 4),
                    "reason": turn.reason,
                }
            )
        )

    def heard(self, number: int, content: bytes) -> None:
        """Take in what another gateway says; junk and other moves are passed over."""
        mover = self.mover
        if mover is None or len(content) != WORD.size:
            return
        _, name, state, step, slower, errs = WORD.unpack(content)
        if name == digest(mover) and state < len(STATES):
            mover.heard(number, STATES[state], step, slower, errs)

    def describe(self) -> list[str]:
        """Give the state in lines for people."""
        return [] if self.mover is None else ["shift " + ujson.dumps(self.mover.status())]


def digest(mover: Mover) -> int:
    """Give a short name for a move that all gateways share."""
    move = mover.move
    return xxhash.xxh32_intdigest(f"{move.name}\0{move.source}\0{move.target}".encode())


def clip(log: float) -> float:
    """Keep a log of a wealth within what a message's float holds."""
    return max(-1e6, min(1e6, log))
