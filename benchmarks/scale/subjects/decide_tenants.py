"""The decision module: CPU, memory and snapshots by the tenants that it remembers, those seen in the last 15 s."""

from __future__ import annotations

import time
from collections.abc import Iterator

import ujson

from benchmarks.scale.play import INTERVAL_TOKEN, Player
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples, cpu_ms, held_bytes
from benchmarks.scale.subjects.decide import ORDINARY_TENANTS, WARM_UP, player
from petrelhall.capacity.records import Slope
from petrelhall.decide import interface as api
from petrelhall.decide import snapshot
from petrelhall.decide.policy import IDLE_CUSTOMER_TTL_MS, Gateway

SUBJECT = "decide-tenants"
ORDINARY_SERVERS = 1900
SHORT = 0.1  # of an effort's seconds: all repeats must be over before tenants are forgotten
SNAPSHOT_REPEATS = 3


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    request = Samples(
        "decide.tenants.cpu",
        "CPU of the decision module for one request while so many tenants are remembered.",
        "us",
        "tenants",
        "At 81 requests/s no more than 1,215 tenants are seen in the 15 s for which one is remembered.",
        SUBJECT,
    )
    memory = Samples(
        "decide.tenants.memory",
        "Memory that the decision module holds for the tenants that it remembers.",
        "MiB",
        "tenants",
        "tracemalloc counts objects, and quota accounts are a slope of their own.",
        SUBJECT,
    )
    sweep = Samples(
        "decide.sweep.longest",
        "A turn that closes an interval while so many tenants are remembered: a pause for all requests.",
        "ms",
        "tenants",
        "The turn in which all tenants are forgotten at once is decide.sweep.forget.",
        SUBJECT,
    )
    forget = Samples(
        "decide.sweep.forget",
        "The turn in which all remembered tenants are forgotten at once.",
        "ms",
        "tenants",
        "It takes a moment after which all traffic ended, which is rare.",
        SUBJECT,
    )
    for tenants in effort.tenants:
        memory.add(tenants, remembered_bytes(tenants) / MEBIBYTE)
        playing = warm_player(tenants, effort)
        playing.remember_tenants()
        for _ in range(effort.repeats):
            played = playing.run(SHORT * effort.seconds)
            request.add(tenants, 1e6 * played.cpu_s / played.requests)
        for _ in range(effort.repeats):
            sweep.add(tenants, cpu_ms(playing.module.handle, playing.now, api.Alarm(INTERVAL_TOKEN)))
        playing.now += 2.0 * IDLE_CUSTOMER_TTL_MS
        forget.add(tenants, cpu_ms(playing.module.handle, playing.now, api.Alarm(INTERVAL_TOKEN)))
    for samples in (request, memory, sweep, forget):
        yield samples.slope()
    yield from snapshots(effort)


def warm_player(tenants: int, effort: Effort) -> Player:
    """Give a module that lets all requests in, and from now on hears of so many tenants."""
    playing = player(ORDINARY_SERVERS, min(tenants, ORDINARY_TENANTS))
    playing.warm_up(WARM_UP * effort.seconds)
    playing.tenants = tenants
    return playing


def snapshots(effort: Effort) -> Iterator[Slope]:
    """Yield what a snapshot costs."""
    size = Samples(
        "decide.snapshot.bytes",
        "Snapshot that a process hands to the next at an upgrade, as JSON.",
        "bytes",
        "tenants",
        "It holds the 4,000 tenants seen last at most, so beyond that it does not grow; 1,900 servers are in it.",
        SUBJECT,
    )
    writing = Samples(
        "decide.snapshot.cpu",
        "CPU of making and writing a snapshot and of reading it in the next process.",
        "ms",
        "tenants",
        "Files and waiting for the other process are left out; beyond 4,000 tenants it stays as it is there.",
        SUBJECT,
    )
    for tenants in effort.snapshot_tenants:
        playing = warm_player(tenants, effort)
        playing.remember_tenants()
        for _ in range(min(SNAPSHOT_REPEATS, effort.repeats)):
            began = time.process_time()
            content = handed_over(playing.module)
            writing.add(tenants, 1000.0 * (time.process_time() - began))
            size.add(tenants, float(len(content)))
    yield size.slope()
    yield writing.slope()


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
    latency = [module.latency_per_unit_ms[kind] for kind in settings.classes]
    content = ujson.dumps(snapshot.take(module, settings, latency, module.failure_rates, settings.plans)).encode()
    successor = Gateway(settings, 1)
    servers = tuple(api.Server(address) for address in module.servers)
    successor.handle(module.now, api.ServerList("full", servers))
    snapshot.restore(successor, settings, ujson.loads(content), module.now)
    return content
