"""Estimates how long a server keeps idle connections open, from what happened to earlier ones. Pure.

A server closes idle connections after a time that it does not announce. Three kinds of observation tell of that
time: a kept connection that serves after some idle time, one that breaks when used after some idle time (it was dead
by then), and one that is seen closing. Each is a trial of "dead by this idle time", whose probability can only rise
with the time. Trials are counted in a histogram over idle time with four buckets per doubling. The probability is
their monotone (isotonic) regression, computed by pooling adjacent violators, and connections are kept up to the first
bucket whose probability exceeds the tolerance. Counts decay, so that a limit that has grown is found again: a bucket
that is no longer used is tried again once its deaths have decayed.
"""

from __future__ import annotations

from array import array

BUCKET_COUNT = 72  # the last bucket begins at 458 s
# Buckets below this one (8 ms) are counted as one block: what breaks there breaks for reasons other than idling.
FIRST_ESTIMATED_BUCKET = 8
# Fictitious trials without a death, added to each block: one death among few trials does not dominate the estimate.
PRIOR_TRIALS = 4.0
# Weight left to survivals at idle times above one at which a connection was just found dead.
SURVIVAL_RETENTION = 0.25
# Share of uses that break for other reasons from which on a death says nothing about survivals at longer idle times.
COMMON_BREAKAGE_SHARE = 0.02
# Deaths that a new server is assumed to have seen, taken from what was learned of the other servers.
FLEET_PRIOR_DEATHS = 0.5
# Half-lives after which the weights are rescaled, long before a float would overflow.
MAX_HALF_LIVES = 40.0
# Connections are kept at least for this time, whatever was observed: no server closes sooner on purpose.
MIN_IDLE_LIMIT_MS = 20.0
NEVER = float("inf")


def bucket_index(idle_ms: float) -> int:
    """Return the bucket of an idle time: four per doubling, and one for each of the first milliseconds."""
    whole_ms = int(idle_ms)
    if whole_ms < 4:
        return max(0, whole_ms)
    bits = whole_ms.bit_length()
    return min(BUCKET_COUNT - 1, 4 * (bits - 2) + (whole_ms >> (bits - 3) & 3))


def bucket_start_ms(bucket: int) -> float:
    """Return the idle time in ms at which a bucket begins."""
    if bucket < 4:
        return float(bucket)
    return float((4 + bucket % 4) << (bucket // 4 - 1))


class SurvivalEstimate:
    """Observations of the kept connections of one server, or of all servers together."""

    __slots__ = (
        "half_life_ms",
        "origin_ms",
        "survivals",
        "deaths",
        "fresh_uses",
        "fresh_breakages",
        "death_count",
    )

    def __init__(self, now: float, half_life_ms: float, prior: SurvivalEstimate | None = None) -> None:
        self.half_life_ms, self.origin_ms = half_life_ms, now
        self.survivals, self.deaths = array("d", bytes(8 * BUCKET_COUNT)), array("d", bytes(8 * BUCKET_COUNT))
        self.death_count = 0  # over all time, without decay: while it is 0, there is nothing to estimate
        self.fresh_uses = self.fresh_breakages = 0.0  # uses of connections that were never idle, and those that broke
        if prior is not None:
            weight = prior.weight(now)
            prior_deaths = sum(prior.deaths) / weight
            factor = min(1.0, FLEET_PRIOR_DEATHS / prior_deaths) / weight if prior_deaths else 0.0
            if prior_deaths:
                self.copy_scaled(factor, prior)
                self.death_count = 1

    def weight(self, now: float) -> float:
        """Return the weight of a trial made now. Later trials weigh more, which is the same as decaying older ones."""
        half_lives = (now - self.origin_ms) / self.half_life_ms
        if half_lives > MAX_HALF_LIVES:
            factor = 0.5**half_lives
            self.copy_scaled(factor, self)
            self.fresh_uses, self.fresh_breakages, self.origin_ms = (
                factor * self.fresh_uses,
                factor * self.fresh_breakages,
                now,
            )
            return 1.0
        return float(2.0**half_lives)

    def copy_scaled(self, factor: float, other: SurvivalEstimate) -> None:
        """Replace the histograms by those of another estimate (or this one), multiplied by a factor."""
        self.survivals = array("d", [factor * count for count in other.survivals])
        self.deaths = array("d", [factor * count for count in other.deaths])

    def record_served(self, now: float, idle_ms: float) -> None:
        """Record that a connection served a request after this idle time."""
        self.survivals[bucket_index(idle_ms)] += self.weight(now)

    def record_broken(self, now: float, idle_ms: float) -> None:
        """Record that a connection was found dead after this idle time; survivals of longer times lose weight."""
        bucket = bucket_index(idle_ms)
        # Where connections break at any age, a broken one is no sign that the limit has changed.
        retained = SURVIVAL_RETENTION + (1.0 - SURVIVAL_RETENTION) * min(
            1.0, self.baseline(now) / COMMON_BREAKAGE_SHARE
        )
        self.deaths[bucket] += self.weight(now)
        self.death_count += 1
        for later in range(bucket, BUCKET_COUNT):
            self.survivals[later] *= retained

    def record_closed(self, now: float, idle_ms: float) -> None:
        """Record that a connection was seen closing at this idle time: it had survived until then."""
        bucket = bucket_index(idle_ms)
        if bucket > 0:
            self.survivals[bucket - 1] += self.weight(now)
        self.record_broken(now, idle_ms)

    def record_fresh_use(self, now: float, broke: bool) -> None:
        """Record the use of a connection that was never idle. If it broke, no idle limit was the cause."""
        weight = self.weight(now)
        self.fresh_uses += weight
        self.fresh_breakages += weight * broke

    def baseline(self, now: float) -> float:
        """Return the share of uses that break for reasons other than idling."""
        weight = self.weight(now)
        broken = self.fresh_breakages + sum(self.deaths[:FIRST_ESTIMATED_BUCKET])
        uses = (
            self.fresh_uses + sum(self.deaths[:FIRST_ESTIMATED_BUCKET]) + sum(self.survivals[:FIRST_ESTIMATED_BUCKET])
        )
        return broken / (uses + PRIOR_TRIALS * weight)

    def idle_limit_ms(self, now: float, tolerance: float, explore: bool = True) -> float:
        """Return the idle time in ms up to which connections are worth keeping, NEVER if nothing suggests a limit.

        Up to that time the probability to break, beyond the baseline, stays within the tolerance. Nothing is known
        between the longest idle time that was survived and the shortest at which a connection was found dead. With
        ``explore`` the result lies half-way between them, counted in buckets, which approaches the limit at the cost
        of few deaths; without it the result stays at the time that was survived.
        """
        if not self.death_count:
            return NEVER
        weight = self.weight(now)
        max_death_share = tolerance + 1.5 * self.baseline(now)
        # Each block: deaths, trials, first bucket, last bucket; the share of deaths rises from block to block.
        blocks: list[list[float]] = []
        for bucket in range(FIRST_ESTIMATED_BUCKET, BUCKET_COUNT):
            deaths = self.deaths[bucket]
            trials = deaths + self.survivals[bucket]
            if trials <= 1e-6 * weight:
                continue
            blocks.append([deaths, trials, bucket, bucket])
            while len(blocks) > 1 and blocks[-2][0] * blocks[-1][1] >= blocks[-1][0] * blocks[-2][1]:
                last = blocks.pop()
                blocks[-1] = [blocks[-1][0] + last[0], blocks[-1][1] + last[1], blocks[-1][2], last[3]]
        survived_end = 0  # the bucket after the last that was survived
        for deaths, trials, first_bucket, last_bucket in blocks:
            if deaths / (trials + PRIOR_TRIALS * weight) > max_death_share:
                if not survived_end:  # no survivals below: half of the shortest idle time at which one was dead
                    return max(MIN_IDLE_LIMIT_MS, bucket_start_ms(int(first_bucket)) / 2.0)
                return max(
                    MIN_IDLE_LIMIT_MS, bucket_start_ms((survived_end + int(first_bucket) * explore) // (1 + explore))
                )
            survived_end = int(last_bucket) + 1
        return NEVER

    def longest_survived_ms(self, now: float) -> float:
        """Return the longest idle time that was recently survived, 0 if none was."""
        min_weight = 0.1 * self.weight(now)
        for bucket in range(BUCKET_COUNT - 1, -1, -1):
            if self.survivals[bucket] > min_weight:
                return bucket_start_ms(bucket)
        return 0.0

    def limit_bounds_ms(self, now: float) -> tuple[float, float]:
        """Return the bounds of the limit: longest idle time survived, and shortest at which one was found dead."""
        min_weight = 0.1 * self.weight(now)
        dead_buckets = [
            bucket for bucket in range(FIRST_ESTIMATED_BUCKET, BUCKET_COUNT) if self.deaths[bucket] > min_weight
        ]
        high = bucket_start_ms(dead_buckets[0] + 1) if dead_buckets and dead_buckets[0] + 1 < BUCKET_COUNT else NEVER
        low = max(
            (
                bucket_start_ms(bucket)
                for bucket in range(BUCKET_COUNT)
                if self.survivals[bucket] > min_weight and bucket_start_ms(bucket) < high
            ),
            default=0.0,
        )
        return low, high
