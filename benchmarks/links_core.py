"""The core of connections alone at sizes that sockets don't reach: microseconds an event and bytes a box.

python benchmarks/links_core.py [BOXES] [EVENTS]
"""

from __future__ import annotations

import gc
import random
import resource
import sys
import time

from petrelhall.links.plan import ConnectionPlan, ConnectionRecord, ConnectionState
from petrelhall.operator.settings import Links

START_MS = 1e12


def memory() -> int:
    """Give the peak memory of this process in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def main(boxes: int, events: int) -> None:
    """Drive a plan through requests, closes and ticks."""
    draw = random.Random(1)
    gc.collect()
    before = memory()
    plan = ConnectionPlan(Links(), 4 * boxes, 30000.0, 10000.0, 4, 1)
    for number in range(boxes):
        plan.add_server(START_MS, f"s-{number:06d}", ("127.0.0.1", number), 0.0)
    empty = memory()
    names = list(plan.servers)
    busy: list[ConnectionRecord] = []
    now, done, ticks, longest = START_MS, 0, 0, 0.0
    spent = 0.0
    while done < events:
        now += 0.02  # 50,000 events a second
        began = time.perf_counter()
        kind = draw.random()
        if kind < 0.5 or not busy:
            link = plan.acquire(now, names[int(draw.random() ** 2 * boxes)], kind < 0.4)
            if isinstance(link, ConnectionRecord):
                if link.state is ConnectionState.OPENING:
                    plan.on_opened(now, link)
                busy.append(link)
        elif kind < 0.98:
            at = int(draw.random() * len(busy))
            link, busy[at] = busy[at], busy[-1]
            busy.pop()
            plan.on_response(now, link)
            plan.release(now, link, True)
        else:
            idle = next(iter(plan.idle), None)
            if idle is not None:
                plan.on_idle_closed(now, idle)
        plan.closing.clear()
        done += 1
        if done % 5000 == 0:  # every 100 ms
            tick = time.perf_counter()
            for link in plan.tick(now):
                plan.on_opened(now, link)
                plan.release(now, link, True)
            longest = max(longest, time.perf_counter() - tick)
            ticks += 1
        spent += time.perf_counter() - began
    print(
        f"{boxes} boxes, {events} events: {1e6 * spent / events:.2f} us an event with its share of {ticks} ticks; "
        f"longest tick {1e3 * longest:.1f} ms; {(empty - before) / boxes:.0f} bytes a box, "
        f"{(memory() - before) / boxes:.0f} with its connections; {plan.open} open, {len(plan.idle)} idle"
    )


if __name__ == "__main__":
    main(*(int(value) for value in (sys.argv[1:] + ["5000", "1000000"][len(sys.argv) - 1 :])))
