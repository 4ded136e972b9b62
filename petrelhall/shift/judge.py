"""Whether one pool serves worse than another, looked at after every answer without raising false alarms. Pure.

Each answer of the target pool is matched with the answers that the source pool gave to requests of the same kind
(class, plan, units) since the last one of that kind, none of them used twice. Its *rank* among them, 0 where it is
faster than all and 1 where it is slower, is on average a half or less if the target is no slower than tolerated,
whatever the distribution of latencies, since a keyed hash has put requests on either side. So a bettor who stakes a
fixed share of its wealth on "slower" at every match cannot get rich: by Ville's inequality its wealth ever reaches
1/alpha with a chance of alpha at most (an e-process). The same bet the other way shows "no worse".

A pool may turn bad after hours of being good, when the bettor that began first is long ruined. New bettors begin all
the time, each with a part of the one unit of wealth that there is, so the bound holds for all of them together.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

STAKES = (0.3, 0.7, 1.2, 1.8)  # of the wealth, on a rank between -1/2 and 1/2: mild and strong effects
EPOCH_MS = 2000.0  # between two bettors that begin
EPOCHS = 64  # over which half of the wealth is spread evenly; the other half thins out for ever
MOST_SOURCE = 24  # answers of the source kept for one match
STALE_MS = 3000.0  # older ones of the source say nothing of now
DISTRICTS = 32  # judged one by one
ENDLESS = math.inf
MOST_LOG = 600.0  # of a wealth: no float overflows


class Judgement(Enum):
    """What can be said."""

    WORSE = "worse"
    NO_WORSE = "no worse"
    NOT_YET = "not yet"


@dataclass(frozen=True, slots=True)
class Answer:
    """How one attempt ended. ``latency_ms`` of one that never ended is at least so long (``censored``)."""

    kind: Hashable  # class, plan, units: what makes requests alike
    latency_ms: float
    error: bool = False
    censored: bool = False
    district: str = ""


def share_of_wealth(epoch: int) -> float:
    """Give the part of the one unit of wealth that the bettor of an epoch begins with; all parts sum to one."""
    early = 0.5 / EPOCHS if epoch < EPOCHS else 0.0
    return early + 0.5 / ((epoch + 1.0) * (epoch + 2.0))


class Bettors:
    """An e-process against the mean of bounded numbers being zero or less; ``log`` is the log of the wealth."""

    __slots__ = ("wealth", "rest", "epoch")

    def __init__(self) -> None:
        self.wealth = [0.0] * len(STAKES)
        self.rest, self.epoch = 1.0, 0  # wealth not staked yet, and bettors that have begun
        self.begin()

    def begin(self) -> None:
        """Let another bettor begin."""
        part = share_of_wealth(self.epoch)
        self.epoch += 1
        self.rest = max(0.0, self.rest - part)
        for number in range(len(STAKES)):
            self.wealth[number] += part / len(STAKES)

    def see(self, value: float) -> None:
        """Take in a number from -1/2 to 1/2 whose mean is in question."""
        for number, stake in enumerate(STAKES):
            self.wealth[number] = min(1e250, self.wealth[number] * (1.0 + stake * value))

    @property
    def log(self) -> float:
        """Give the log of the wealth."""
        return math.log(max(1e-300, sum(self.wealth) + self.rest))


class Lane:
    """One question: is the target slower, does it err more, is it no worse; for all, a class or a district."""

    __slots__ = ("slower", "errs", "fine", "fine_errs", "pairs", "ranks", "target_errors", "source_errors")

    def __init__(self) -> None:
        self.slower, self.errs, self.fine, self.fine_errs = Bettors(), Bettors(), Bettors(), Bettors()
        self.pairs, self.ranks, self.target_errors, self.source_errors = 0, 0.0, 0.0, 0.0

    def see(self, rank: float, strict: float, error: float, source_error: float, margin: float) -> None:
        """Take in one match: ranks against the tolerated and the accepted ratio, and errors."""
        self.pairs += 1
        self.ranks += rank
        self.target_errors += error
        self.source_errors += source_error
        self.slower.see(rank - 0.5)
        self.fine.see(0.5 - strict)
        more = (error - source_error - margin) / (2.0 * (1.0 + margin))
        self.errs.see(more)
        self.fine_errs.see(-more)

    def begin(self) -> None:
        """Let new bettors begin."""
        for bettors in (self.slower, self.errs, self.fine, self.fine_errs):
            bettors.begin()


class Judge:
    """Compares two pools through one move.

    ``tolerated`` is the ratio of latencies up to which the target is not worse, ``accepted`` the one that it must be
    shown to stay under to be no worse, ``margin`` the share of errors for both, ``alpha`` the chance that a move
    between equal pools is ever called worse.
    """

    def __init__(
        self,
        tolerated: float = 1.05,
        margin: float = 0.01,
        alpha: float = 0.01,
        classes: int = 1,
        accepted: float = 1.15,
    ) -> None:
        self.accepted = accepted
        self.tolerated, self.margin, self.alpha, self.classes = tolerated, margin, alpha, max(1, classes)
        self.all = Lane()
        self.by_class: dict[Hashable, Lane] = {}
        self.by_district: dict[str, Lane] = {}
        # What the source answered of late, by kind: when, ms, error, censored.
        self.sources: dict[Hashable, deque[tuple[float, float, bool, bool]]] = {}
        self.epoch_at = -ENDLESS
        self.matched = self.unmatched = 0
        self.told: dict[Hashable, tuple[float, float]] = {}  # by peer: log of its wealth on "slower", on "errs"
        self.recent: deque[tuple[float, bool]] = deque(maxlen=64)  # the target's last answers: when, bad

    # Evidence

    def source(self, now: float, answer: Answer) -> None:
        """Take in an answer of the source pool."""
        entry = now, answer.latency_ms, answer.error, answer.censored
        for kind in (answer.kind, self.within(answer)):
            if kind is not None:
                kept = self.sources.get(kind)
                if kept is None:
                    kept = self.sources[kind] = deque(maxlen=MOST_SOURCE)
                kept.append(entry)

    def target(self, now: float, answer: Answer) -> None:
        """Take in an answer of the target pool; it counts if there is one of the source to match it with."""
        self.recent.append((now, answer.error or answer.censored))
        if now - self.epoch_at >= EPOCH_MS:
            if self.epoch_at > -ENDLESS:
                for lane in (self.all, *self.by_class.values(), *self.by_district.values()):
                    lane.begin()
            self.epoch_at = now
        match = self.match(now, answer, answer.kind)
        if match is None:
            self.unmatched += 1
        else:
            self.matched += 1
            self.all.see(*match)
            kind = answer.kind[0] if isinstance(answer.kind, tuple) else answer.kind
            if kind in self.by_class or len(self.by_class) < self.classes:
                self.by_class.setdefault(kind, Lane()).see(*match)
        within = self.within(answer)
        match = self.match(now, answer, within) if within is not None else None
        if match is not None:
            self.by_district[answer.district].see(*match)

    def within(self, answer: Answer) -> Hashable | None:
        """Give the kind of an answer within its district, whose requests may weigh more than others'; None: not judged.

        To hold one district's answers against those of all would blame a pool for a heavy district.
        """
        if not answer.district:
            return None
        if answer.district not in self.by_district:
            if len(self.by_district) >= DISTRICTS:
                return None
            self.by_district[answer.district] = Lane()
        return answer.district, answer.kind

    def match(self, now: float, answer: Answer, kind: Hashable) -> tuple[float, float, float, float, float] | None:
        """Match an answer with the source's of its kind, which are used up: ranks, errors, margin."""
        kept = self.sources.get(kind)
        while kept and now - kept[0][0] > STALE_MS:
            kept.popleft()
        if not kept:
            return None
        total = strict = errors = 0.0
        for _, latency, error, censored in kept:
            total += rank(answer, self.tolerated * latency, error, censored)
            strict += rank(answer, self.accepted * latency, error, censored)
            errors += error or censored
        count = len(kept)
        kept.clear()
        return total / count, strict / count, float(answer.error or answer.censored), errors / count, self.margin

    def peer(self, name: Hashable, slower: float, errs: float) -> None:
        """Take in what another gateway's bettors have: its requests are others, so wealths multiply."""
        if math.isfinite(slower) and math.isfinite(errs):
            self.told[name] = max(-MOST_LOG, min(MOST_LOG, slower)), max(-MOST_LOG, min(MOST_LOG, errs))

    # Judgement

    def judgement(self) -> tuple[Judgement, str]:
        """Say what can be said, and why.

        Of alpha, half is for "slower" over all requests, a sixth for their errors, a sixth each for the classes' and
        the districts' two bets.
        """
        need = math.log(1.0 / self.alpha)
        slower = self.all.slower.log + sum(told[0] for told in self.told.values())
        errs = self.all.errs.log + sum(told[1] for told in self.told.values())
        if slower >= need + math.log(2.0):
            return Judgement.WORSE, f"slower: {self.effect()}"
        if errs >= need + math.log(6.0):
            return Judgement.WORSE, f"more errors: {self.effect()}"
        for kind, lane in self.by_class.items():
            if max(lane.slower.log, lane.errs.log) >= need + math.log(12.0 * self.classes):
                return Judgement.WORSE, f"worse for class {kind}: {self.effect(lane)}"
        for district, lane in self.by_district.items():
            if max(lane.slower.log, lane.errs.log) >= need + math.log(12.0 * DISTRICTS):
                return Judgement.WORSE, f"worse for district {district}: {self.effect(lane)}"
        if min(self.all.fine.log, self.all.fine_errs.log) >= need:
            return Judgement.NO_WORSE, f"no worse: {self.effect()}"
        return Judgement.NOT_YET, f"not yet: {self.effect()}"

    def harm(self, now: float, within_ms: float = 10000.0, least: int = 12) -> bool:
        """Tell of harm that needs no comparison: two thirds of the target's last answers were none."""
        seen = [bad for when, bad in self.recent if now - when <= within_ms]
        return len(seen) >= least and sum(seen) * 3 >= 2 * len(seen)

    def effect(self, lane: Lane | None = None) -> str:
        """Word the effect: the chance that the target is slower than tolerated, with an interval, and errors."""
        lane = lane or self.all
        if not lane.pairs:
            return "no matched answers"
        mean = lane.ranks / lane.pairs
        # A confidence sequence for a mean in [0, 1] (Hoeffding, stitched over doublings of the count).
        count = lane.pairs
        stitched = math.sqrt((1.4 * math.log(math.log2(2.0 * count) + 1.0) + math.log(10.4 / self.alpha)) / (2 * count))
        low, high = max(0.0, mean - 1.2 * stitched), min(1.0, mean + 1.2 * stitched)
        return (
            f"slower in {mean:.2f} [{low:.2f}, {high:.2f}] of {count} matches, errors "
            f"{lane.target_errors / count:.3f} against {lane.source_errors / count:.3f}"
        )


def rank(answer: Answer, bound: float, error: bool, censored: bool) -> float:
    """Give 1 where the target was slower than a bound from one answer of the source, 0 where not, else a half.

    An error is no fast answer: it counts as slower than any good one. What timed out is at least so slow.
    """
    if answer.error or error:
        return 0.5 + 0.5 * (answer.error - error)
    if answer.censored:
        return 1.0 if not censored and answer.latency_ms >= bound else 0.5
    if censored:
        return 0.0 if answer.latency_ms <= bound else 0.5
    return 0.5 if answer.latency_ms == bound else float(answer.latency_ms > bound)
