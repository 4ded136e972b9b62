"""Discovery: what a whole list and the change of one entry cost, by servers."""

from __future__ import annotations

from collections.abc import Iterator

import ujson

from benchmarks.scale.installation import (
    DESCRIPTORS,
    GATEWAYS,
    ZONES,
    gateway_settings,
    server_entry,
    server_list,
)
from benchmarks.scale.sampling import Effort, Samples, cpu_ms
from petrelhall.boxes.discovery import DiscoveryWatch
from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.capacity.records import Slope
from petrelhall.decide.policy import Gateway
from petrelhall.gateway.dispatch import Dispatcher
from petrelhall.gateway.platform import Platform
from petrelhall.http.h1 import HttpResponse
from petrelhall.links.plan import ConnectionPlan
from petrelhall.links.pool import ConnectionPool
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop
from petrelhall.operator.settings import Links

CONNECTIONS = int(0.4 * (DESCRIPTORS - 40))  # to servers, as Program divides the descriptors
CHANGES = 5  # of one entry each, in one sample


def silent(line: str) -> None:
    """Write no log."""


def watch() -> DiscoveryWatch:
    """Put the parts of a gateway that a list of servers goes through together as Program does."""
    settings, loop, counts, registry = gateway_settings(), Loop(silent), Counts(), ServerRegistry(ZONES)
    dispatcher = Dispatcher(loop, Gateway(settings, 1), counts, silent)
    plan = ConnectionPlan(Links(), CONNECTIONS, 30000.0, settings.cold_ms, GATEWAYS, 1)
    ConnectionPool(loop, registry, Platform(settings, ("read",), ("small", "large")), counts, plan, 250.0)
    return DiscoveryWatch(loop, ("127.0.0.1", 1), registry, dispatcher.dispatch, counts, silent)


def body(listing: object) -> bytes:
    """Write an answer as discovery sends it."""
    return ujson.dumps(listing).encode()


def take(watch: DiscoveryWatch, content: bytes) -> None:
    """Have an answer taken, as the turn of the loop does in which its last bytes came."""
    failure = watch.handle_response(HttpResponse(200, {}, content))
    if failure:
        raise RuntimeError(failure)


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    whole_bytes = Samples(
        "discovery.whole_list.bytes",
        "Body of the answer that holds the whole list of servers.",
        "bytes",
        "servers",
        "Headers of HTTP and TCP are not counted, and ids and addresses are as long as those that we chose.",
    )
    whole_cpu = Samples(
        "discovery.whole_list.cpu",
        "CPU of one turn of the loop that decodes a whole list and applies it to the fleet, pool and decision module.",
        "ms",
        "servers",
        "Reading the bytes from the socket, and operators' pools and bans, are left out.",
    )
    change_bytes = Samples(
        "discovery.change.bytes",
        "Body of the answer that tells of one changed entry.",
        "bytes",
        "servers",
        "Headers of HTTP and TCP are not counted.",
    )
    change_cpu = Samples(
        "discovery.change.cpu",
        "CPU of one turn of the loop that decodes and applies the change of one entry.",
        "ms",
        "servers",
        "Changes come one at a time here; discovery may tell several in one answer, which costs less for each.",
    )
    for servers in effort.servers:
        content = body(server_list(servers))
        whole_bytes.add(servers, float(len(content)))
        for _ in range(effort.repeats):
            receiver = watch()
            whole_cpu.add(servers, cpu_ms(take, receiver, content))
            for number in range(CHANGES):
                entry = server_entry(number, started_ms=1000 * (number + 1))
                change = body({"version": number + 2, "full": False, "servers": [entry]})
                spent = cpu_ms(take, receiver, change)
                change_cpu.add(servers, spent)
                change_bytes.add(servers, float(len(change)))
            receiver.loop.epoll.close()
    for samples in (whole_bytes, whole_cpu, change_bytes, change_cpu):
        yield samples.slope()
