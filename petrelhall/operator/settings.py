"""The operators' file as typed structures. A section for each subsystem; what is absent has these defaults.

The bounds stand in the types, so that the schema, the check and the gateway cannot differ. Times are
milliseconds (``_ms``) or seconds (``_s``).
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

Whole = Annotated[int, Meta(ge=1, le=4096)]


class Cold(Struct, frozen=True, forbid_unknown_fields=True):
    """How a box that has just started gets its first connections."""

    per_s: Annotated[float, Meta(gt=0.0, le=1000.0, description=(
        "new connections a second, of all gateways together, to a box that has just started; rises evenly to "
        "eight times that until the box is warm"))] = 12.0
    at_once: Annotated[int, Meta(ge=1, le=64, description=(
        "connections that one gateway has coming up at a time at a box that is not warm"))] = 2
    ms: Annotated[float, Meta(ge=0.0, le=600000.0, description=(
        "how long a box counts as cold; 0 takes the platform's own figure"))] = 0.0


class Stale(Struct, frozen=True, forbid_unknown_fields=True):
    """How connections are retired before the box drops them."""

    tolerance: Annotated[float, Meta(gt=0.0, le=0.5, description=(
        "share of uses at some idle time that may break, beyond what breaks on fresh connections, before "
        "connections are no longer kept for so long; a tenth of it for requests whose repeat is not free"))] = 0.01
    half_life_s: Annotated[float, Meta(ge=1.0, le=3600.0, description=(
        "seconds in which what was learned of a box loses half its weight; a limit that was learned is tried "
        "anew after about five of them"))] = 30.0
    proven_ms: Annotated[float, Meta(ge=0.0, le=60000.0, description=(
        "idle time that nobody has yet survived at a box up to which a request whose repeat is not free still "
        "uses a kept connection"))] = 1000.0
    idle_ms: Annotated[float, Meta(ge=0.0, le=600000.0, description=(
        "longest idle time of a connection; 0 takes 0.8 of the platform's own figure"))] = 0.0


class Links(Struct, frozen=True, forbid_unknown_fields=True):
    """Connections to boxes."""

    per_box: Annotated[int, Meta(ge=1, le=1024, description="connections to one box at most")] = 64
    total: Annotated[int, Meta(ge=0, le=65536, description=(
        "connections to all boxes at most; 0 takes the boxes' share of the descriptors, which is never passed"
    ))] = 0
    opening_per_box: Annotated[int, Meta(ge=1, le=1024, description=(
        "connections coming up at a time at one box"))] = 16
    opening: Annotated[int, Meta(ge=1, le=4096, description=(
        "connections coming up at a time at all boxes"))] = 64
    wait_ms: Annotated[float, Meta(ge=0.0, le=10000.0, description=(
        "how long a request waits for a connection when none may be opened, before it is told as never sent; "
        "a quarter of its time at most"))] = 100.0
    reuse: Annotated[Literal["last_used", "oldest", "least_used"], Meta(description=(
        "which idle connection is used first"))] = "last_used"
    ahead: Annotated[int, Meta(ge=0, le=64, description=(
        "spare connections opened ahead to a box whose requests had to wait for new ones"))] = 0
    warm_up_ms: Annotated[float, Meta(ge=0.0, le=600000.0, description=(
        "time over which a gateway that starts opens its first connection to each warm box, in an order of its "
        "own; 0 opens none ahead"))] = 0.0
    max_age_s: Annotated[float, Meta(ge=0.0, le=86400.0, description=(
        "age, give or take a fifth, at which a connection is not used again; 0 for no such age"))] = 600.0
    max_uses: Annotated[int, Meta(ge=0, le=1000000000, description=(
        "uses, give or take a fifth, after which a connection is not used again; 0 for no such count"))] = 0
    cold: Cold = Cold()
    stale: Stale = Stale()


class File(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    links: Links = Links()
