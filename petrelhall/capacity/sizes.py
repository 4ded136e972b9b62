"""The size of a deployment, and what the operators allow the program to spend there."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=1)]
CountOrNone = Annotated[int, Meta(ge=0)]
Rate = Annotated[float, Meta(ge=0.0)]


class SizeError(ValueError):
    """A size that cannot exist; the text names the field."""


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How large a deployment is; the defaults are the operators' plan for two years from now."""

    gateways: Annotated[Count, Meta(description="gateways in all regions")] = 2100
    servers: Annotated[Count, Meta(description="servers behind them")] = 19000
    services: Annotated[Count, Meta(description="services that the servers belong to")] = 360
    requests_per_second: Annotated[Rate, Meta(description="requests a second at the peak, all gateways")] = 170000.0
    routes: Annotated[Count, Meta(description="routes")] = 5800
    tenants: Annotated[Count, Meta(description="tenants")] = 120000
    regions: Annotated[Count, Meta(description="regions")] = 5
    zones: Annotated[Count, Meta(description="zones in all regions")] = 16
    changes_per_day: Annotated[Rate, Meta(description="configuration changes a day")] = 11000.0
    failures_per_day: Annotated[Rate, Meta(description="machines that fail a day")] = 26.0
    restarts_per_day: Annotated[Rate, Meta(description="machines restarted or replaced a day")] = 3000.0
    control_machines: Annotated[CountOrNone, Meta(description="machines set aside for control")] = 10

    @property
    def machines(self) -> int:
        """Give the number of all machines."""
        return self.gateways + self.servers + self.control_machines

    @property
    def distributors(self) -> int:
        """Give the number of distributors: all control machines but one replica in each region."""
        return max(1, self.control_machines - self.regions)

    @property
    def requests_per_gateway(self) -> float:
        """Give the requests a second of one gateway at the peak."""
        return self.requests_per_second / self.gateways


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What may be spent; sizes are decimal (1 MB is 1,000,000 bytes), the stricter reading."""

    added_latency_s: float = 0.0012  # to a request, for 99 in 100
    in_force_s: float = 4.0  # a configuration change, everywhere
    control_cpu: float = 0.031  # of a core, one gateway's control part
    control_memory_bytes: float = 128e6  # one gateway's control part
    control_bytes_per_second: float = 26e3  # one gateway's control part, in and out together
    control_machines: int = 10
    machine_cpu: float = 1.0  # of a core: a process of ours is one thread
    descriptors: int = 1024  # of one process
    document_bytes: int = 65536  # not a budget but what the program takes: ``accord.documents.MAX_DOCUMENT_BYTES``


def checked(size: Size) -> Size:
    """Give the size if it can exist (SizeError)."""
    try:
        size = msgspec.convert(msgspec.to_builtins(size), Size)
    except msgspec.ValidationError as error:
        raise SizeError(str(error)) from error
    for name in ("requests_per_second", "changes_per_day", "failures_per_day", "restarts_per_day"):
        if getattr(size, name) == float("inf"):
            raise SizeError(f"{name}: must be finite")
    if size.zones < size.regions:
        raise SizeError(f"zones: {size.zones} zones cannot make up {size.regions} regions")
    if size.services > size.servers:
        raise SizeError(f"services: {size.services} services need at least as many servers, not {size.servers}")
    return size
