"""The shared policy document: its size and the CPU of reading and checking it, by the tenants and routes it names."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from benchmarks.scale.installation import gateway_settings
from benchmarks.scale.sampling import Effort, Samples, cpu_ms
from petrelhall.accord.documents import MAX_DOCUMENT_BYTES
from petrelhall.accord.words import PIECE_BYTES
from petrelhall.capacity.records import Slope
from petrelhall.decide import interface as api
from petrelhall.operator.settings import ClassLimits, File, Limits, Shared
from petrelhall.operator.shared import decode, encode, plans_of, refused


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    limit = f"A document of more than {MAX_DOCUMENT_BYTES} bytes is refused by consensus, whatever it holds."
    tenant_bytes = Samples(
        "document.tenants.bytes",
        "Shared document that states rate and burst for each tenant by name.",
        "bytes",
        "tenants",
        limit,
    )
    tenant_cpu = Samples(
        "document.tenants.cpu",
        "CPU of one turn that decodes and checks a document naming each tenant, and works its plans out.",
        "ms",
        "tenants",
        "A plan for each tenant is assumed, as the document has no other way to name one; replanning is left out.",
    )
    tenant_pieces = Samples(
        "document.tenants.messages",
        "Messages in which a gateway fetches a document naming each tenant from another.",
        "messages",
        "tenants",
        "Messages that ask for the pieces, and those lost and sent again, are left out.",
        "document",
    )
    route_bytes = Samples(
        "document.routes.bytes",
        "Shared document that states a deadline for each route by name.",
        "bytes",
        "routes",
        limit,
    )
    route_cpu = Samples(
        "document.routes.cpu",
        "CPU of one turn that decodes and checks a document naming each route.",
        "ms",
        "routes",
        "A class of requests for each route is assumed, as the program has no routes of its own.",
    )
    for tenants in effort.named_tenants:
        names = tuple(f"tenant-{number:06d}" for number in range(tenants))
        content = encode(Shared(plans={name: Limits(rate=5.5, burst=10.0) for name in names}))
        tenant_bytes.add(tenants, float(len(content)))
        tenant_pieces.add(tenants, float(-(-len(content) // PIECE_BYTES)))
        plan = gateway_settings().plans[0]
        settings = dataclasses.replace(gateway_settings(), plans=(plan,) * tenants)
        read_plans(content, settings, names)  # the first time costs more
        for _ in range(effort.repeats):
            tenant_cpu.add(tenants, cpu_ms(read_plans, content, settings, names))
    for routes in effort.routes:
        names = tuple(f"route-{number:04d}" for number in range(routes))
        content = encode(Shared(classes={name: ClassLimits(3000.0) for name in names}))
        route_bytes.add(routes, float(len(content)))
        kind = gateway_settings().classes[0]
        settings = dataclasses.replace(gateway_settings(), classes=(kind,) * routes)
        read_classes(content, settings, names)
        for _ in range(effort.repeats):
            route_cpu.add(routes, cpu_ms(read_classes, content, settings, names))
    for samples in (tenant_bytes, tenant_cpu, tenant_pieces, route_bytes, route_cpu):
        yield samples.slope()


def read_plans(content: bytes, settings: api.Settings, names: tuple[str, ...]) -> None:
    """Read a document and check it as a gateway does, and work its plans out."""
    shared = decode(content)
    reason = refused(shared, File(), settings, names, ())
    if reason:
        raise RuntimeError(reason)
    plans_of(shared, settings, names)


def read_classes(content: bytes, settings: api.Settings, names: tuple[str, ...]) -> None:
    """Read a document and check it as a gateway does."""
    reason = refused(decode(content), File(), settings, (), names)
    if reason:
        raise RuntimeError(reason)
