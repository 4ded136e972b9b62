"""Plays requests through the decision module in simulated time, and adds up the CPU of its turns."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.scale.installation import ANSWER_MS, PEAK_REQUESTS_PER_S, SET_SIZE
from petrelhall.decide import interface as api
from petrelhall.decide.policy import Gateway

START_MS = 1e6
COUNTER_MS = 10.0  # until the shared counter answers
WARM_UP_STEP_SECONDS, ADMITTED_SHARE = 5.0, 0.95
INTERVAL_TOKEN = 0  # of the alarm that closes an interval


@dataclass
class Played:
    """What came of a play."""

    requests: int = 0
    sent: int = 0  # requests that went to a server
    cpu_s: float = 0.0
    interval_ms: list[float] = field(default_factory=list)  # CPU of each turn that closes an interval
    peer_messages: int = 0
    peer_bytes: int = 0
    counter_calls: int = 0


class Player:
    """One gateway's decision module, whatever it asks for, and the time."""

    def __init__(self, module: Gateway, servers: int, tenants: int, seed: int = 1) -> None:
        self.module, self.tenants, self.random = module, tenants, random.Random(seed)
        self.now = START_MS
        self.due: list[tuple[float, int, api.Event]] = []
        self.order = 0
        self.request = 0
        self.totals: Counter[int] = Counter()  # of the shared counter
        self.played = Played()
        self.tell(self.now, api.Started())
        self.tell(self.now, api.ServerList("full", tuple(api.Server(f"server-{n:05d}") for n in range(servers))))

    def at(self, when: float, event: api.Event) -> None:
        """Have an event come."""
        self.order += 1
        heapq.heappush(self.due, (when, self.order, event))

    def tell(self, now: float, event: api.Event) -> None:
        """Give the module an event, take the time, and carry its actions out."""
        began = time.process_time()
        actions = self.module.handle(now, event)
        spent = time.process_time() - began
        self.played.cpu_s += spent
        if isinstance(event, api.Alarm) and event.token == INTERVAL_TOKEN:
            self.played.interval_ms.append(1000.0 * spent)
        for action in list(actions):
            self.carry_out(now, action)

    def carry_out(self, now: float, action: api.Action) -> None:
        """Do what the module asks for: every attempt succeeds, and each answer comes after the same time."""
        if isinstance(action, api.Send):
            self.played.sent += 1
            ending = api.Ending.OK
            outcome = api.Outcome(action.request, 0, action.server, ending, ANSWER_MS, True, None, None, {"rif": 2.0})
            self.at(now + ANSWER_MS, outcome)
        elif isinstance(action, api.SetTimer):
            self.at(now + action.after_ms, api.Alarm(action.token))
        elif isinstance(action, api.CounterAdd):
            self.played.counter_calls += 1
            self.totals[action.name] += action.amount
            self.at(now + COUNTER_MS, api.CounterReply(action.name, api.Ending.OK, self.totals[action.name]))
        elif isinstance(action, api.Tell):
            receivers = len(action.to) or self.module.settings.gateways - 1
            self.played.peer_messages += receivers
            self.played.peer_bytes += receivers * len(action.content)

    def arrival(self, tenant: int) -> api.Arrival:
        """Give a request of a tenant, every fifth of which is on the large plan."""
        self.request += 1
        gateways = self.module.settings.gateways
        return api.Arrival(
            self.request,
            0,
            int(tenant % 5 == 0),
            f"tenant-{tenant:06d}",
            6000.0,
            1.0,
            min(SET_SIZE, gateways),
            False,
            (),
            self.module.settings.position,
        )

    def run(self, seconds: float) -> Played:
        """Play requests at the peak rate of one gateway for some seconds, and give what came of them."""
        self.played = Played(requests=int(PEAK_REQUESTS_PER_S * seconds))
        end = self.now + 1000.0 * seconds
        for number in range(self.played.requests):
            when = self.now + 1000.0 * number / PEAK_REQUESTS_PER_S
            self.at(when, self.arrival(self.random.randrange(self.tenants)))
        while self.due and self.due[0][0] <= end:
            when, _, event = heapq.heappop(self.due)
            self.tell(when, event)
        self.now = end
        return self.played

    def warm_up(self, most_seconds: float) -> None:
        """Play until nearly all requests are let in: a module that has just started lets in few."""
        for _ in range(int(most_seconds / WARM_UP_STEP_SECONDS)):
            played = self.run(WARM_UP_STEP_SECONDS)
            if played.sent >= ADMITTED_SHARE * played.requests:
                return

    def remember_tenants(self) -> None:
        """Have every tenant seen at this moment: a request each, which is gone at once."""
        for tenant in range(self.tenants):
            arrival = self.arrival(tenant)
            self.module.handle(self.now, arrival)
            self.module.handle(self.now, api.ClientGone(arrival.request))
