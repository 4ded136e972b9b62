"""A soak of quotas that are lent through a counter alone, while the counter fails in every way it can."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from petrelhall.standins.drill import QuotaDrill
from petrelhall.standins.meter import Meter
from petrelhall.standins.strikes import Play
from petrelhall.standins.world import Setup

TROUBLES = ("replace", "split", "lost", "replace", "late", "busy", "replace", "spoilt")  # in turn, from a seeded one on
LASTS_S = 4.0  # of those that last


class CounterSoak(QuotaDrill):
    """Gateways that may not speak with each other; two addresses of one counter."""

    LARGE, CEILING = (80.0, 120.0), (150.0, 220.0, 0.1)  # rate and burst, of the other plan; and slack

    def __init__(self, setup: Setup, every_s: float) -> None:
        super().__init__(setup, Play())
        self.every_s, self.happened = every_s, 0
        self.large, self.ceiling = Meter(*self.LARGE), Meter(self.CEILING[0], self.CEILING[1])
        self.draw = random.Random(f"{setup.seed}/counter")

    async def play(self) -> None:
        """Trouble the counter all the while."""
        await super().play()
        assert self.crowd is not None
        crowd = self.crowd
        crowd.plans = [self.PLAN, "large-district"]

        def first(request: str, now: float) -> None:
            asked = crowd.out.get(request)
            if asked is not None and asked.district % 2 == 0:
                self.meter.use(asked.district, now)
            elif asked is not None:
                self.large.use(asked.district, now)
                self.ceiling.use(asked.district, now)

        self.judge.on_first = first
        crowd.on_refused = lambda asked: (self.large if asked.district % 2 else self.meter).refuse(
            asked.district, time.monotonic()
        )
        first_trouble = self.draw.randrange(len(TROUBLES))
        while True:
            await asyncio.sleep(max(0.0, self.began + self.every_s * (self.happened + 0.7) - time.monotonic()))
            await self.befall_counter(TROUBLES[(first_trouble + self.happened) % len(TROUBLES)])
            self.happened += 1

    async def befall_counter(self, kind: str) -> None:
        """Have one thing happen to the counter, and mend it."""
        counters = self.counters
        lasts = min(LASTS_S, 0.6 * self.every_s)
        if kind == "split":
            counters[1].numbers = dict(counters[0].numbers)
            await asyncio.sleep(lasts)
        elif kind == "lost":
            for counter in counters:
                counter.stop()
            await asyncio.sleep(lasts)
            for counter in counters:
                await counter.start()
        elif kind != "replace":
            for name, value in (("late_s", 0.3), ("busy", True), ("spoilt", True)):
                if name.startswith(kind):
                    for counter in counters:
                        setattr(counter, name, value)
            await asyncio.sleep(lasts)
            for counter in counters:
                counter.late_s, counter.busy, counter.spoilt = 0.0, False, False
        for counter in counters:  # healed as one, or as a fresh one
            if kind in ("replace", "lost"):
                counter.replace()
            counter.numbers = counters[0].numbers

    def outcome(self, report: dict[str, Any]) -> dict[str, Any]:
        """Give the soak's figures; what is stated is the caller's, who knows the settings."""
        calls = sum(count for name, count in report["gateway_counts"].items() if name.startswith("counter."))
        for meter in (self.meter, self.large, self.ceiling):
            meter.stores.pop(-1, None)
        refused = self.meter.refused + self.large.refused
        return {
            "seed": self.setup.seed,
            "troubles": self.happened,
            "exit_codes": report["exit_codes"],
            "broken": report["broken"],
            "counter": {name: count for name, count in report["gateway_counts"].items() if name.startswith("counter.")},
            "units_put": round(sum(seen["put"] for seen in self.views)),
            "units_taken": round(sum(seen["taken"] for seen in self.views)),
            "refused_with_half_unused_share": round(
                (self.meter.refused_half_unused + self.large.refused_half_unused) / max(1, refused), 4
            ),
            "requests": report["requests"],
            "lost": report["lost"] + report["spoilt"] + report["unanswered"],
            "large_error_units": round(self.large.worst(), 1),
            "districts": len(self.meter.stores) + len(self.large.stores),
            "worst_error_units": round(self.meter.worst(), 1),
            "ceiling_passed": round(max(0.0, self.ceiling.worst() - self.CEILING[1] * self.CEILING[2]), 1),
            "calls_per_request": round(calls / max(1, report["requests"]), 3),
            "served_share": round(self.meter.least_served(self.setup.seconds), 3),
        }
