"""The decision module: CPU and memory by servers."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.scale.installation import gateway_settings
from benchmarks.scale.play import Player
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples, held_bytes
from petrelhall.capacity.records import Slope
from petrelhall.decide.policy import Gateway

ORDINARY_TENANTS = 1200  # where servers grow: those of 15 s at 81 requests/s
WARM_UP = 5.0  # times the seconds that are measured, at most


def player(servers: int, tenants: int) -> Player:
    """Give a gateway's module before so many servers."""
    return Player(Gateway(gateway_settings(), 1), servers, tenants)


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    request = Samples(
        "decide.request.cpu",
        "CPU of the decision module for one request let in: arrival, counter, answer, timers, at 81 requests/s.",
        "us",
        "servers",
        "Sockets, HTTP and connections are left out; no attempt fails; requests let in cost more than those refused.",
    )
    interval = Samples(
        "decide.interval.servers",
        "Longest turn that closes an interval, once a second, by servers: a pause for all requests.",
        "ms",
        "servers",
        "1,200 tenants are remembered here; what more of them cost is decide.sweep.longest.",
    )
    memory = Samples(
        "decide.servers.memory",
        "Memory that the decision module holds for its servers.",
        "MiB",
        "servers",
        "tracemalloc counts objects: fragments of the allocator and what the pool and the fleet hold are left out.",
    )
    for servers in effort.servers:
        for _ in range(effort.repeats):
            playing = player(servers, ORDINARY_TENANTS)
            playing.warm_up(WARM_UP * effort.seconds)
            played = playing.run(effort.seconds)
            request.add(servers, 1e6 * played.cpu_s / played.requests)
            interval.add(servers, max(played.interval_ms))
        empty = held_bytes(player, 0, 1)
        memory.add(servers, (held_bytes(player, servers, 1) - empty) / MEBIBYTE)
    for samples in (request, interval, memory):
        yield samples.slope()
