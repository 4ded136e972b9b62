"""What a request costs the decision module, and what the module holds, by the size of the fleet.

    python -m benchmarks.fleet_size [--seconds 20]

Plays one gateway's pure core through some simulated seconds at each size: the same 7 requests a second here, answers
after 300 ms, and the words of all other gateways. CPU is this process's own; memory is what tracemalloc counts.
"""

from __future__ import annotations

import argparse
import heapq
import random
import time
import tracemalloc

from petrelhall.decide import gossip
from petrelhall.decide import interface as api
from petrelhall.decide.policy import Gateway

SIZES = ((3, 12), (10, 20), (40, 60), (100, 200))
RATE, WORD_S, ANSWER_MS = 7.0, 1.0, 300.0


def settings(gateways: int) -> api.Settings:
    """Give settings like those of the installation, at a size."""
    return api.Settings(
        classes=(api.RequestClass(api.Effect.REPEATABLE, aim_ms=2000.0, deadline_ms=6000.0),),
        plans=(api.Plan(rate=0.4, burst=2.0), api.Plan(rate=5.5, burst=10.0, max_open=4)),
        gateways=gateways,
        peers=True,
        peer_messages_per_s=100.0,
        counter=True,
        counter_wait_ms=80.0,
        max_attempts=3,
        max_retry_after_ms=2000.0,
    )


def play(gateways: int, servers: int, seconds: float) -> tuple[float, int, int, Gateway]:
    """Give the CPU seconds, the requests, the words that came in, and the gateway as it is then."""
    chance, gateway = random.Random(1), Gateway(settings(gateways), 1)
    gateway.handle(1e6, api.Started())
    gateway.handle(1e6, api.ServerList("full", tuple(api.Server(f"s{n}") for n in range(servers))))
    due: list[tuple[float, int, api.Event]] = []
    for number in range(int(RATE * seconds)):
        who, at = chance.randrange(30 * gateways), 1e6 + 1000.0 * number / RATE
        event = api.Arrival(number, 0, who % 5 == 0, f"c{who}", 6000.0, 1.0, max(2, gateways // 2), False)
        heapq.heappush(due, (at, len(due), event))
    words = int(min(75.0, (gateways - 1) / WORD_S) * seconds)  # no peer may be sent more than it takes in
    for number in range(words):
        body = gossip.encode([(chance.randrange(2**32), 1.0) for _ in range(7)])
        heapq.heappush(due, (1e6 + 1000.0 * seconds * number / words, len(due), api.PeerMessage(1, body)))
    for second in range(int(seconds)):
        heapq.heappush(due, (1e6 + 1000.0 * second, len(due), api.Alarm(0)))
    count, began = len(due), time.process_time()
    while due:
        at, _, event = heapq.heappop(due)
        for action in gateway.handle(at, event):
            count += 1
            if isinstance(action, api.Send):
                outcome = api.Outcome(
                    action.request, 0, action.server, api.Ending.OK, ANSWER_MS, True, None, None, {"rif": 2.0}
                )
                heapq.heappush(due, (at + ANSWER_MS, count, outcome))
            elif isinstance(action, api.CounterAdd):
                heapq.heappush(due, (at + 10.0, count, api.CounterReply(action.name, api.Ending.OK, action.amount)))
    return time.process_time() - began, int(RATE * seconds), words, gateway


def main() -> None:
    """Print a line a size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20.0)
    seconds = parser.parse_args().seconds
    print("gateways servers  us/request  words/s  kB held")
    for gateways, servers in SIZES:
        cpu, requests, words, _ = min((play(gateways, servers, seconds) for _ in range(3)), key=lambda run: run[0])
        tracemalloc.start()
        kept = play(gateways, servers, seconds)[3]  # alive while it is measured
        held = tracemalloc.get_traced_memory()[0] / 1000.0
        del kept
        tracemalloc.stop()
        print(f"{gateways:8} {servers:7} {1e6 * cpu / requests:11.0f} {words / seconds:8.1f} {held:8.0f}")


if __name__ == "__main__":
    main()
