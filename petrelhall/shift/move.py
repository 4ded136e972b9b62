"""The move: a state machine that raises the target's share step by step, halts and undoes it. Pure.

A gateway holds nothing across a restart but the operators' file, so a move begins at its first step whenever a
gateway starts, and earns each step anew: it can be behind the others, never ahead of what its own evidence carries.
Where peers are heard, it is never more than one step ahead of the one that is furthest behind, and a halt of one is a
halt of all. The clock counts only forward here, and never by more than a second between two looks: a step of the
machine's clock neither hurries a move nor undoes it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from petrelhall.operator.settings import Move
from petrelhall.shift.judge import Answer, Judge, Judgement

LONGEST_MS = 1000.0  # that one look at the clock can add
PEER_MS = 10000.0  # after which a peer that is not heard no longer holds up the others
NOW_GAIN = 0.02  # of one answer in the source's present latency: the last fifty or so
BASE_LEAST = 200  # answers of the source that its latency at the begin is taken from
MOST_RATIO = 4.0  # of one latency to the mean of its kind: one stall is no drift
STARVED_S = 120.0  # without a matched answer after which a step says that traffic is too thin


class State(Enum):
    """Where a move is."""

    IDLE = "idle"  # not begun: the operators' window is closed, or their word is to wait
    STEPPING = "stepping"
    HOLDING = "holding"  # no step forward, for now
    HALTED = "halted"  # worse: on the way to undoing
    UNDOING = "undoing"
    UNDONE = "undone"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Turn:
    """A change of state or share, for a log: what is wanted now, and why."""

    state: State
    share: float
    reason: str


@dataclass(frozen=True, slots=True)
class Heard:
    """What a peer said of the same move."""

    at: float
    state: State
    step: int


class Mover:
    """One gateway's part in one move."""

    def __init__(self, move: Move, classes: int = 1) -> None:
        self.move = move
        self.state, self.step, self.share = State.IDLE, 0, 0.0
        self.judge = Judge(move.worse.tolerated, move.worse.margin, move.worse.alpha, classes, move.worse.accepted)
        self.clock = 0.0  # ms since the first look, forward only
        self.seen_at: float | None = None
        self.step_at = 0.0
        self.step_matched = 0
        self.matched_at = 0.0
        self.present = 1.0  # the source's latency over what it was at the begin
        self.sources = 0
        self.kinds: dict[Any, tuple[int, float]] = {}  # answers and mean latency of a kind at the begin
        self.reason = "not begun"
        self.peers: dict[Any, Heard] = {}

    # Events

    def answer(self, now: float, answer: Answer, target: bool) -> None:
        """Take in how an attempt ended on either side; what spilt, or came from a cold box, is not told here."""
        if self.state in (State.UNDONE, State.DONE, State.IDLE):
            return
        if target:
            before = self.judge.matched
            self.judge.target(now, answer)
            if self.judge.matched > before:
                self.step_matched += 1
                self.matched_at = self.clock
            return
        self.judge.source(now, answer)
        if answer.error or answer.censored:
            return
        # Each kind's mean at the begin stays what it was: a mix that changes is no drift, and a slow one is.
        self.sources += 1
        count, mean = self.kinds.get(answer.kind, (0, 0.0))
        if count < BASE_LEAST:
            self.kinds[answer.kind] = count + 1, mean + (answer.latency_ms - mean) / (count + 1)
            return
        ratio = min(MOST_RATIO, answer.latency_ms / max(1e-3, mean))
        self.present += NOW_GAIN * (ratio - self.present)

    def heard(self, name: Any, state: State, step: int, slower: float, errs: float) -> None:
        """Take in what another gateway says of the same move."""
        self.peers[name] = Heard(self.clock, state, step)
        self.judge.peer(name, slower, errs)

    def told(self, move: Move) -> None:
        """Take the operators' new word on this same move; what was earned stays where the steps are the same."""
        if move.steps != self.move.steps and self.state in (State.STEPPING, State.HOLDING):
            steps = [number for number, step in enumerate(move.steps) if step.share <= self.share]
            self.step = steps[-1] if steps else 0
            self.step_at, self.step_matched = self.clock, 0
        self.move = move
        worse = move.worse
        self.judge.tolerated, self.judge.accepted = worse.tolerated, worse.accepted
        self.judge.margin, self.judge.alpha = worse.margin, worse.alpha

    # The passing of time

    def look(self, now: float, unix_s: float, pools_ready: bool = True) -> list[Turn]:
        """Decide what is to be done now; give what has changed.

        ``pools_ready`` tells that both pools have a box that may be sent to.
        """
        passed = 0.0 if self.seen_at is None else max(0.0, min(LONGEST_MS, now - self.seen_at))
        self.seen_at, self.clock = now, self.clock + passed
        before = self.state, self.share, self.reason if self.state is State.HOLDING else ""
        self.decide(now, unix_s, pools_ready, passed)
        after = self.state, self.share, self.reason if self.state is State.HOLDING else ""
        return [Turn(self.state, self.share, self.reason)] if before != after else []

    def decide(self, now: float, unix_s: float, pools_ready: bool, passed: float) -> None:
        """Go on from the present state."""
        state, order = self.state, self.move.order
        if state in (State.UNDONE, State.DONE):
            if state is State.UNDONE and order == "finish" or state is State.DONE and order == "undo":
                self.turn(State.IDLE, "the operators' word")
            return
        if order == "finish" and state not in (State.HALTED, State.UNDOING):
            self.share = 1.0
            return self.turn(State.DONE, "the operators' word")
        if order == "undo" and state not in (State.HALTED, State.UNDOING):
            return (
                self.turn(State.UNDOING, "the operators' word")
                if self.share
                else self.turn(State.UNDONE, "the operators' word")
            )
        if state is State.IDLE:
            return self.begin(unix_s, pools_ready)
        if state is State.HALTED:
            return self.turn(State.UNDOING, self.reason)
        if state is State.UNDOING:
            self.share = max(0.0, self.share - self.move.undo_per_s * passed / 1000.0)
            if not self.share:
                self.turn(State.UNDONE, self.reason)
            return None
        self.go_on(now, pools_ready)
        return None

    def begin(self, unix_s: float, pools_ready: bool) -> None:
        """Begin, unless something is in the way."""
        if self.move.order == "pause":
            self.reason = "the operators' word"
        elif any(window.start_s <= unix_s < window.end_s for window in self.move.closed):
            self.reason = "no move begins in this time"
        elif not pools_ready:
            self.reason = "a pool has no box"
        elif any(heard.state in (State.HALTED, State.UNDOING, State.UNDONE) for heard in self.fresh()):
            self.reason = "another gateway has halted it"
            self.turn(State.UNDONE, self.reason)
        else:
            self.step, self.share = 0, self.move.steps[0].share
            self.step_at, self.step_matched, self.matched_at = self.clock, 0, self.clock
            self.turn(State.STEPPING, "begun")

    def go_on(self, now: float, pools_ready: bool) -> None:
        """Halt, hold, or take the next step."""
        judgement, words = self.judge.judgement()
        if any(heard.state in (State.HALTED, State.UNDOING, State.UNDONE) for heard in self.fresh()):
            return self.turn(State.HALTED, "another gateway has halted it")
        if judgement is Judgement.WORSE:
            return self.turn(State.HALTED, words)
        if self.judge.harm(now):
            return self.turn(State.HALTED, "two thirds of the target's last answers were none")
        step = self.move.steps[self.step]
        hindrance = self.hindrance(pools_ready)
        if hindrance:
            return self.turn(State.HOLDING, hindrance)
        if self.state is State.HOLDING:
            self.turn(State.STEPPING, "goes on")
        if self.clock - self.step_at < 1000.0 * step.least_s:
            self.reason = f"step {self.step + 1} has its time: {words}"
        elif step.share < 1.0 and (  # all of it: nothing is left to compare with
            self.step_matched < step.least_evidence or judgement is not Judgement.NO_WORSE
        ):
            self.reason = f"step {self.step + 1} lacks evidence ({self.step_matched} matches): {words}"
            if self.clock - self.matched_at > 1000.0 * STARVED_S:
                self.turn(State.HOLDING, "traffic is too thin to judge")
        elif self.step + 1 == len(self.move.steps):
            self.turn(State.DONE, words)
        elif any(heard.step < self.step for heard in self.fresh() if heard.state is not State.DONE):
            self.reason = "another gateway is a step behind"
        else:
            self.step += 1
            self.share = self.move.steps[self.step].share
            self.step_at, self.step_matched, self.matched_at = self.clock, 0, self.clock
            self.turn(State.STEPPING, words)
        return None

    def hindrance(self, pools_ready: bool) -> str:
        """Say what speaks against a step forward, though nothing against the target."""
        if self.move.order == "pause":
            return "the operators' word"
        if not pools_ready:
            return "a pool has no box"
        if self.present > self.move.worse.source_drift:
            return "the source itself got slower: nobody is to blame"
        return ""

    def fresh(self) -> list[Heard]:
        """Give what was lately heard of peers."""
        return [heard for heard in self.peers.values() if self.clock - heard.at < PEER_MS]

    def turn(self, state: State, reason: str) -> None:
        """Change the state."""
        self.state, self.reason = state, reason

    @property
    def wanted(self) -> float:
        """Give the share of the traffic that may move which goes to the target now."""
        return self.share if self.state is not State.IDLE else 0.0

    def status(self) -> dict[str, Any]:
        """Give the state for people and machines."""
        judge = self.judge
        return {
            "move": self.move.name,
            "state": self.state.value,
            "share": round(self.wanted, 4),
            "step": self.step + 1,
            "steps": len(self.move.steps),
            "reason": self.reason,
            "matched": judge.matched,
            "unmatched": judge.unmatched,
            "effect": judge.effect(),
            "log_wealth": {
                "slower": round(judge.all.slower.log, 2),
                "errs": round(judge.all.errs.log, 2),
                "fine": round(judge.all.fine.log, 2),
            },
            "classes": {str(kind): judge.effect(lane) for kind, lane in judge.by_class.items()},
        }
