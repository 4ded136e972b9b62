"""How long a box keeps a connection that nobody uses: an estimate from what becomes of kept connections. Pure.

A box closes idle connections at a time it does not tell. Three things are seen of it: a kept connection that
serves at some idle time, one that breaks when used after some idle time (it had died by then), and one that is
seen closing. Each is a trial of "dead by this idle time", whose chance can only rise with the time. Trials are
counted by idle time in classes of a quarter doubling; the chance is their monotone regression (pooling adjacent
violators), and connections are kept up to the first class whose chance is over what is tolerated. Counts fade,
so that a limit that has grown is found again: a class that was left is tried anew once its deaths have faded.
"""

from __future__ import annotations

from array import array

CLASSES = 72  # the last begins at 458 s
FIRST_KNOWN = 8  # classes under this one (14 ms) are one block: what breaks there breaks for other reasons
PRIOR = 4.0  # trials that nobody made, in which nothing died: keeps one death among few from being all
CHANGE = 0.25  # weight left to older survivors of a time at which a connection was just found dead
COMMON = 0.02  # share of uses that break anyway from which on a death tells nothing of older survivors
SEED = 0.5  # deaths that a box new to us is held to have seen, from what was learned of the others
FADE_TO = 40.0  # halvings after which the weights are scaled back, long before a float would overflow
FLOOR_MS = 20.0  # kept for as long whatever was seen: no box closes sooner on purpose
NEVER = float("inf")


def age_class(idle_ms: float) -> int:
    """Give the class of an idle time: four for each doubling, one for each of the first milliseconds."""
    whole = int(idle_ms)
    if whole < 4:
        return max(0, whole)
    bits = whole.bit_length()
    return min(CLASSES - 1, 4 * (bits - 2) + (whole >> (bits - 3) & 3))


def lower_edge(number: int) -> float:
    """Give the idle time in ms at which a class begins."""
    if number < 4:
        return float(number)
    return float((4 + number % 4) << (number // 4 - 1))


class SurvivalEstimate:
    """What was seen of one box's kept connections, or of all boxes' together."""

    __slots__ = ("half_ms", "origin", "alive", "dead", "fresh", "fresh_broken", "deaths")

    def __init__(self, now: float, half_ms: float, prior: SurvivalEstimate | None = None) -> None:
        self.half_ms, self.origin = half_ms, now
        self.alive, self.dead = array("d", bytes(8 * CLASSES)), array("d", bytes(8 * CLASSES))
        self.deaths = 0  # ever seen: while there is none, there is nothing to estimate
        self.fresh = self.fresh_broken = 0.0  # uses of connections that never lay idle, and those that broke
        if prior is not None:
            weight = prior.weight(now)
            dead = sum(prior.dead) / weight
            scale = min(1.0, SEED / dead) / weight if dead else 0.0
            if dead:
                self.scale(scale, prior)
                self.deaths = 1

    def weight(self, now: float) -> float:
        """Give the weight of a trial made now: later ones weigh more, which is as well as fading the earlier."""
        halvings = (now - self.origin) / self.half_ms
        if halvings > FADE_TO:
            scale = 0.5**halvings
            self.scale(scale, self)
            self.fresh, self.fresh_broken, self.origin = scale * self.fresh, scale * self.fresh_broken, now
            return 1.0
        return float(2.0**halvings)

    def scale(self, factor: float, other: SurvivalEstimate) -> None:
        """Take the counts of another, or its own, times a factor."""
        self.alive = array("d", [factor * count for count in other.alive])
        self.dead = array("d", [factor * count for count in other.dead])

    def record_served(self, now: float, idle_ms: float) -> None:
        """A connection served after lying idle for so long."""
        self.alive[age_class(idle_ms)] += self.weight(now)

    def broke(self, now: float, idle_ms: float) -> None:
        """A connection was found dead after lying idle for so long; older survivors now tell less."""
        number = age_class(idle_ms)
        # Where connections break whatever their age, one that did is no sign of a limit that has changed.
        kept = CHANGE + (1.0 - CHANGE) * min(1.0, self.baseline(now) / COMMON)
        self.dead[number] += self.weight(now)
        self.deaths += 1
        for later in range(number, CLASSES):
            self.alive[later] *= kept

    def closed(self, now: float, idle_ms: float) -> None:
        """A connection was seen closing at this idle time: it had lived until then."""
        number = age_class(idle_ms)
        if number > 0:
            self.alive[number - 1] += self.weight(now)
        self.broke(now, idle_ms)

    def record_fresh_use(self, now: float, broke: bool) -> None:
        """A connection that never lay idle served, or broke: what breaks there is no idle limit's doing."""
        weight = self.weight(now)
        self.fresh += weight
        self.fresh_broken += weight * broke

    def baseline(self, now: float) -> float:
        """Give the share of uses that break for other reasons than lying idle."""
        weight = self.weight(now)
        dead = self.fresh_broken + sum(self.dead[:FIRST_KNOWN])
        uses = self.fresh + sum(self.dead[:FIRST_KNOWN]) + sum(self.alive[:FIRST_KNOWN])
        return dead / (uses + PRIOR * weight)

    def limit(self, now: float, tolerance: float, bold: bool = True) -> float:
        """Give the idle time in ms up to which connections are worth keeping; NEVER where nothing speaks against.

        The chance to break, over the baseline, stays within the tolerance up to there. Between the last time
        that was survived and the first at which one was found dead nothing is known: the ``bold`` go half the
        way by classes, which closes in on the limit at the price of few deaths, the others none of it.
        """
        if not self.deaths:
            return NEVER
        weight = self.weight(now)
        bound = tolerance + 1.5 * self.baseline(now)
        blocks: list[list[float]] = []  # deaths, trials, first class, last class; chances rise from block to block
        for number in range(FIRST_KNOWN, CLASSES):
            deaths = self.dead[number]
            trials = deaths + self.alive[number]
            if trials <= 1e-6 * weight:
                continue
            blocks.append([deaths, trials, number, number])
            while len(blocks) > 1 and blocks[-2][0] * blocks[-1][1] >= blocks[-1][0] * blocks[-2][1]:
                last = blocks.pop()
                blocks[-1] = [blocks[-1][0] + last[0], blocks[-1][1] + last[1], blocks[-1][2], last[3]]
        kept = 0  # the class after the last that was survived
        for deaths, trials, first, last_class in blocks:
            if deaths / (trials + PRIOR * weight) > bound:
                if not kept:  # nothing was survived below: half of the shortest time at which one was dead
                    return max(FLOOR_MS, lower_edge(int(first)) / 2.0)
                return max(FLOOR_MS, lower_edge((kept + int(first) * bold) // (1 + bold)))
            kept = int(last_class) + 1
        return NEVER

    def survived(self, now: float) -> float:
        """Give the longest idle time that was lately survived, 0 where none was."""
        least = 0.1 * self.weight(now)
        for number in range(CLASSES - 1, -1, -1):
            if self.alive[number] > least:
                return lower_edge(number)
        return 0.0

    def limit_bounds_ms(self, now: float) -> tuple[float, float]:
        """Give what the limit is known to lie between: longest time survived, shortest at which one was dead."""
        least = 0.1 * self.weight(now)
        dead = [number for number in range(FIRST_KNOWN, CLASSES) if self.dead[number] > least]
        high = lower_edge(dead[0] + 1) if dead and dead[0] + 1 < CLASSES else NEVER
        low = max(
            (
                lower_edge(number)
                for number in range(CLASSES)
                if self.alive[number] > least and lower_edge(number) < high
            ),
            default=0.0,
        )
        return low, high
