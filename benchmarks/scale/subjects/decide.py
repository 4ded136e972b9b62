"""The decision module: CPU and memory by servers, and by the tenants that it remembers."""

from __future__ import annotations

import time
from collections.abc import Iterator

import ujson

from benchmarks.scale.installation import gateway_settings
from benchmarks.scale.play import INTERVAL_TOKEN, Player
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples, cpu_ms, held_bytes
from petrelhall.capacity.records import Slope
from petrelhall.decide import interface as api
from petrelhall.decide import snapshot
from petrelhall.decide.policy import KEEP_MS, Gateway

ORDINARY_SERVERS = 200  # where tenants grow
ORDINARY_TENANTS = 1200  # where servers grow: those of 15 s at 81 requests/s
SNAPSHOT_REPEATS = 3


def player(servers: int, tenants: int) -> Player:
    """Give a gateway's module before so many servers."""
    return Player(Gateway(gateway_settings(), 1), servers, tenants)


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    yield from by_servers(effort)
    yield from by_tenants(effort)


def by_servers(effort: Effort) -> Iterator[Slope]:
    """Yield what grows with the servers."""
    request = Samples(
        "decide.request.cpu",
        "CPU of the decision module for one request: arrival, counter, answer and timers, at 81 requests/s.",
        "us",
        "servers",
        "Sockets, HTTP and connections are left out, and every attempt succeeds at once without retry.",
    )
    interval = Samples(
        "decide.interval.servers",
        "Longest turn that closes an interval, once a second, by servers: a pause for all requests.",
        "ms",
        "servers",
        "Few tenants are remembered here; their part is decide.sweep.longest.",
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
            played = playing.run(effort.seconds)
            request.add(servers, 1e6 * played.cpu_s / played.requests)
            interval.add(servers, max(played.interval_ms))
        empty = held_bytes(player, 0, 1)
        memory.add(servers, (held_bytes(player, servers, 1) - empty) / MEBIBYTE)
    for samples in (request, interval, memory):
        yield samples.slope()


def by_tenants(effort: Effort) -> Iterator[Slope]:
    """Yield what grows with the tenants that were seen in the last 15 s."""
    request = Samples(
        "decide.tenants.cpu",
        "CPU of the decision module for one request while so many tenants are remembered.",
        "us",
        "tenants",
        "At 81 requests/s no more than 1,215 tenants are seen in the 15 s for which one is remembered.",
    )
    memory = Samples(
        "decide.tenants.memory",
        "Memory that the decision module holds for the tenants that it remembers.",
        "MiB",
        "tenants",
        "tracemalloc counts objects, and quota accounts are a slope of their own.",
    )
    sweep = Samples(
        "decide.sweep.longest",
        "Longest turn that closes an interval while so many tenants are remembered: a pause for all requests.",
        "ms",
        "tenants",
        "The turn in which all tenants are forgotten at once is decide.sweep.forget.",
    )
    forget = Samples(
        "decide.sweep.forget",
        "The turn in which all remembered tenants are forgotten at once.",
        "ms",
        "tenants",
        "It takes a moment after which all traffic ended, which is rare.",
    )
    size = Samples(
        "decide.snapshot.bytes",
        "Snapshot that a process hands to the next at an upgrade, as JSON.",
        "bytes",
        "tenants",
        "It holds at most 4,000 tenants, the last seen, and 200 servers here.",
    )
    writing = Samples(
        "decide.snapshot.cpu",
        "CPU of making and writing a snapshot and of reading it in the next process.",
        "ms",
        "tenants",
        "Files and waiting for the other process are left out; at most 4,000 tenants are in it.",
    )
    for tenants in effort.tenants:
        memory.add(tenants, remembered_bytes(tenants) / MEBIBYTE)
        playing = player(ORDINARY_SERVERS, tenants)
        playing.remember_tenants()
        seconds = effort.seconds / 20.0
        for _ in range(effort.repeats):
            played = playing.run(seconds)
            request.add(tenants, 1e6 * played.cpu_s / played.requests)
        for _ in range(effort.repeats):
            sweep.add(tenants, cpu_ms(playing.module.handle, playing.now, api.Alarm(INTERVAL_TOKEN)))
        for _ in range(min(SNAPSHOT_REPEATS, effort.repeats)):
            began = time.process_time()
            content = handed_over(playing.module)
            writing.add(tenants, 1000.0 * (time.process_time() - began))
            size.add(tenants, float(len(content)))
        playing.now += 2.0 * KEEP_MS
        forget.add(tenants, cpu_ms(playing.module.handle, playing.now, api.Alarm(INTERVAL_TOKEN)))
    for samples in (request, memory, sweep, forget, size, writing):
        yield samples.slope()


def remembered_bytes(tenants: int) -> float:
    """Give what the module holds for so many tenants."""
    return held_bytes(remembering, tenants) - held_bytes(player, 1, 1)


def remembering(tenants: int) -> Player:
    """Give a module that remembers so many tenants."""
    playing = player(1, tenants)
    playing.remember_tenants()
    return playing


def handed_over(module: Gateway) -> bytes:
    """Write a module's snapshot, and have a new one take it."""
    settings = module.settings
    latency = [module.latency[kind] for kind in settings.classes]
    content = ujson.dumps(snapshot.take(module, settings, latency, module.faults, settings.plans)).encode()
    successor = Gateway(settings, 1)
    servers = tuple(api.Server(address) for address in module.links)
    successor.handle(module.now, api.ServerList("full", servers))
    snapshot.restore(successor, settings, ujson.loads(content), module.now)
    return content
