"""Judges what gateways said of each other against what was really done to them. Shares no code with either.

Truth is a list of moments: which processes ran from then on, and which ways were cut. From it follows for every pair
who could have heard of whom, by whatever path. What gateways said is held against that with the times that they state
for themselves. Times are seconds of one clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Moment:
    """How things stand from a time on."""

    at: float
    running: frozenset[int]  # neither dead nor stopped
    cut: frozenset[tuple[int, int]]  # ways (sender, receiver) that carry nothing
    gone: frozenset[int] = frozenset()  # dead, or told to end and not yet started again
    blind: frozenset[int] = frozenset()  # run as members, and owe no view: starved, just back, or just replaced


@dataclass(frozen=True)
class Said:
    """One gateway's statement on a member."""

    at: float
    by: int
    by_life: int
    number: int
    state: str
    life: int


@dataclass
class Stated:
    """The times that gateways state for themselves."""

    fail_s: float  # of silence, at least, before anyone is called failed
    found_s: float  # within which a failure is found
    slack_s: float  # by which news may be late
    hear_s: float  # within which a link that brings nothing is known for that

    @property
    def alone_s(self) -> float:
        """Give the time after which a gateway without a majority must know it.

        The far end of a link knows for as long that it hears nothing, and its word of that takes as long at most.
        """
        return 2.0 * self.hear_s


@dataclass
class Verdict:
    """What came out."""

    failures: int = 0
    found: int = 0
    slowest_found_s: float = 0.0
    wrongly_failed: int = 0
    slowest_healed_s: float = 0.0
    dead_lives_back: int = 0
    examples: list[str] = field(default_factory=list)

    def wrong(self, text: str) -> None:
        """Keep an example."""
        if len(self.examples) < 20:
            self.examples.append(text)


class History:
    """One drill, from its first moment to its end."""

    def __init__(self, gateways: int, moments: list[Moment], said: list[Said], end: float, stated: Stated) -> None:
        self.gateways, self.moments, self.end, self.stated = gateways, moments, end, stated
        self.said = sorted(said, key=lambda one: one.at)
        self.verdict = Verdict()
        self.reaches = [self.reach(moment) for moment in moments]

    def reach(self, moment: Moment) -> list[frozenset[int]]:
        """Give for each gateway who could be heard of there: itself running or not does not matter."""
        found = []
        for observer in range(self.gateways):
            known, edge = {observer}, [observer]
            while edge:
                to = edge.pop()
                for sender in moment.running - known:
                    if (sender, to) not in moment.cut:
                        known.add(sender)
                        edge.append(sender)
            found.append(frozenset(known - {observer}))
        return found

    def able(self, place: int, observer: int) -> bool:
        """Tell whether a gateway runs and hears a majority both ways, all of them with a view of their own."""
        moment = self.moments[place]
        well = moment.running - moment.blind
        if observer not in well:
            return False
        both = sum(
            (observer, other) not in moment.cut and (other, observer) not in moment.cut
            for other in well
            if other != observer
        )
        return 2 * (both + 1) > self.gateways

    def few(self, observer: int, at: float) -> bool:
        """Tell whether a gateway had no majority, by all the links that worked so lately that it may not know more."""
        other_way: dict[int, set[int]] = defaultdict(set)
        for moment in self.moments:
            if self.until(moment) < at - self.stated.alone_s or moment.at > at:
                continue
            for number in moment.running - {observer}:
                other_way[number] |= {
                    way for way, pair in enumerate(((observer, number), (number, observer))) if pair not in moment.cut
                }
        return 2 * (sum(len(ways) == 2 for ways in other_way.values()) + 1) <= self.gateways

    def silence(self, observer: int, number: int, at: float) -> float:
        """Give for how long an observer may have heard nothing of a member: its own absences do not count.

        Where a member could be heard of for less than news may be late, it may not have been.
        """
        total, over, heard = 0.0, at, 0.0
        for place in reversed(range(len(self.moments))):
            moment = self.moments[place]
            if moment.at >= at:
                continue
            if observer in moment.running and number not in self.reaches[place][observer]:
                total, heard = total + heard + over - moment.at, 0.0
            elif observer in moment.running:
                heard += over - moment.at
                if heard >= self.stated.slack_s:
                    break
            over = moment.at
        return total

    def spans(self, holds: Any) -> Iterator[tuple[float, float]]:
        """Give the times from which and to which something holds without a break."""
        begun: float | None = None
        for place, moment in enumerate(self.moments):
            if holds(place) and begun is None:
                begun = moment.at
            elif not holds(place) and begun is not None:
                yield begun, moment.at
                begun = None
        if begun is not None:
            yield begun, self.end

    def lost(self, observer: int, number: int) -> Any:
        """Give whether, at a place, an observer that runs can hear nothing of a member."""
        return lambda place: (
            observer in self.moments[place].running - self.moments[place].blind
            and number not in self.reaches[place][observer]
        )

    def known(self, observer: int, number: int) -> list[Said]:
        """Give what one said of another; a process that starts has said nothing, and the one before no more."""
        found: list[Said] = []
        life = 0
        for one in self.said:
            if one.by == observer and one.by_life != life and one.by_life not in (other.by_life for other in found):
                life = one.by_life
                found.append(Said(one.at, observer, life, number, "", 0))
            if one.by == observer and one.by_life == life and one.number == number:
                found.append(one)
        return found

    def judge(self) -> Verdict:
        """Hold all that was said against what was done."""
        for observer in range(self.gateways):
            for number in range(self.gateways):
                if observer != number:
                    said = self.known(observer, number)
                    self.complete(observer, number, said)
                    self.accurate(observer, number, said)
                    self.healed(observer, number, said)
        self.lives()
        return self.verdict

    def state(self, said: list[Said], at: float) -> str:
        """Give what the last statement at a time says."""
        last = ""
        for one in said:
            if one.at > at:
                break
            last = one.state
        return last

    def broken(self, observer: int, spans: Iterator[tuple[float, float]]) -> Iterator[tuple[float, float]]:
        """Break times where an observer's process starts anew: it can find nothing sooner than from then on."""
        starts = [one.at for one in self.said if one.by == one.number == observer]
        for begun, over in spans:
            at = sorted({begun, over, *(start for start in starts if begun < start < over)})
            yield from zip(at, at[1:], strict=False)

    def fresh(self, said: list[Said], at: float) -> bool:
        """Tell whether an observer has just started, has heard nothing of a member, and so has nothing to find."""
        return any(one.state == "" and at - self.stated.found_s <= one.at for one in said) and not self.state(said, at)

    def complete(self, observer: int, number: int, said: list[Said]) -> None:
        """Every loss that lasts is found: called failed by a majority's members, doubted at least by the others."""
        lost = self.lost(observer, number)
        cases = (
            (("failed", "left"), lambda place: lost(place) and self.able(place, observer)),
            (("failed", "left", "doubt"), lambda place: lost(place) and not self.able(place, observer)),
        )
        for states, holds in cases:
            for begun, over in self.broken(observer, self.spans(holds)):
                if over - begun < self.stated.found_s:
                    continue
                self.verdict.failures += 1
                if self.state(said, begun) in states or self.fresh(said, begun):
                    self.verdict.found += 1
                    continue
                after = [one.at for one in said if begun < one.at <= over and one.state in states]
                if after and after[0] - begun <= self.stated.found_s:
                    self.verdict.found += 1
                    self.verdict.slowest_found_s = max(self.verdict.slowest_found_s, after[0] - begun)
                else:
                    self.verdict.wrong(f"{observer} did not find {number} lost from {begun:.2f} to {over:.2f}: {after}")

    def accurate(self, observer: int, number: int, said: list[Said]) -> None:
        """Nobody is called failed who was not lost for as long as stated, nor by a gateway without a majority."""
        for one in said:
            if one.state != "failed":
                continue
            fits = self.silence(observer, number, one.at) >= self.stated.fail_s - self.stated.slack_s
            few = self.few(observer, one.at)
            if not fits or few:
                self.verdict.wrongly_failed += 1
                self.verdict.wrong(
                    f"{observer} wrongly called {number} failed at {one.at:.2f}"
                    f"{', without a majority' if few else ''}"
                )

    def healed(self, observer: int, number: int, said: list[Said]) -> None:
        """Whoever can be heard of again is soon held for here."""

        def meets(place: int) -> bool:
            moment = self.moments[place]
            return (
                observer in moment.running - moment.blind
                and number in moment.running
                and number in self.reaches[place][observer]
            )

        for begun, over in self.spans(meets):
            if begun <= self.moments[0].at or over - begun < self.stated.slack_s + 0.5:
                continue
            if self.state(said, begun) == "here":
                continue
            back = [one.at for one in said if begun < one.at <= over and one.state == "here"]
            took = (back[0] if back else over) - begun
            self.verdict.slowest_healed_s = max(self.verdict.slowest_healed_s, took)
            if not back or took > 3.0:
                self.verdict.wrong(f"{observer} took {took:.2f} s from {begun:.2f} to see {number} here again")

    def lives(self) -> None:
        """No observer goes back from a member's later life to an earlier one, or from a dead one's death."""
        begun: dict[int, dict[int, float]] = defaultdict(dict)  # by number: when each life first spoke of itself
        for one in self.said:
            if one.by == one.number:
                begun[one.number].setdefault(one.life, one.at)
        latest: dict[tuple[int, int, int], float] = {}
        failed: dict[tuple[int, int, int], int] = {}  # the life that was last called so
        for one in self.said:
            if one.by == one.number:
                continue
            key = one.by, one.by_life, one.number
            since = begun[one.number].get(one.life)
            if since is None:
                self.verdict.wrong(f"{one.by} names a life of {one.number} that never was: {one.life}")
                self.verdict.dead_lives_back += 1
                continue
            back = since < latest.get(key, since)
            latest[key] = max(since, latest.get(key, since))
            if one.state == "failed":
                failed[key] = one.life
            elif one.state == "here" and failed.get(key) == one.life:
                # Called failed, then here, in one life: not if it was dead for longer than it takes to find that.
                back |= all(
                    one.number in moment.gone
                    for moment in self.moments
                    if self.until(moment) >= one.at - self.stated.found_s and moment.at <= one.at
                )
            if back:
                self.verdict.dead_lives_back += 1
                self.verdict.wrong(f"{one.by} took a dead life of {one.number} for here at {one.at:.2f}")

    def until(self, moment: Moment) -> float:
        """Give when a moment is over."""
        later = [other.at for other in self.moments if other.at > moment.at]
        return min(later, default=self.end)
