"""What one process of a gateway hands to the next at an upgrade: a snapshot of what it remembers. Pure.

Plain values only, so that any form of file can carry them; what is not in the form, or was made under other
settings, is refused whole (SnapshotError). Requests in hand stay behind: they end where they were taken.
"""

from __future__ import annotations

import math
import zlib
from typing import Any

from petrelhall.decide.interface import Plan, Settings
from petrelhall.decide.state import Customer, Link, Memory

FORM = 1
MOST_CUSTOMERS = 4000  # those seen last: the others are new again when they come
CUSTOMER = (
    "set_size",
    "set_first",
    "seen",
    "news_at",
    "filled",
    "bucket",
    "shared",
    "spilled",
    "share",
    "cap",
    "demand",
    "sent",
    "others",
    "total",
    "level",
    "level_at",
    "cut_rate",
    "cut_store",
)
LINK = (
    "limit",
    "cold_store",
    "cold_filled",
    "limit_cut",
    "others",
    "reported",
    "slowness",
    "wait",
    "measured",
    "sent",
    "heard",
    "ejected_until",
    "down_at",
    "cold_since",
)
MEMORY = (
    "started",
    "peers_at",
    "ask_share",
    "asked_at",
    "unheard_at",
    "warm_rate",
    "crowd",
    "retries",
    "pace",
    "room_store",
    "paced_at",
    "passed",
)
WHOLE = {"set_size", "set_first"}


class SnapshotError(ValueError):
    """A snapshot that cannot be used; the text says why."""


def fingerprint(settings: Settings) -> int:
    """Give a number that differs where the plans, the classes or this gateway's place differ."""
    return zlib.crc32(repr((settings.plans, settings.classes, settings.gateways, settings.position)).encode())


def take(
    memory: Memory, settings: Settings, latency: list[float], faults: list[float], served: tuple[Plan, ...] = ()
) -> dict[str, Any]:
    """Give all that the next process can use, at this moment; ``served``: the plans where others took their place."""
    plans = {id(plan): number for number, plan in enumerate(served or settings.plans)}
    known = sorted(memory.customers.items(), key=lambda named: named[1].seen)[-MOST_CUSTOMERS:]
    return {
        "form": FORM,
        "settings": fingerprint(settings),
        "at": memory.now,
        "memory": fields(memory, MEMORY),
        "latency": latency,
        "faults": faults,
        "waits": memory.waits,
        "customers": {
            name: [
                plans[id(customer.plan)],
                *fields(customer, CUSTOMER),
                customer.heard,
                customer.total_of,
                customer.open,
                [[peer, out, at] for peer, (out, at) in customer.elsewhere.items()],
            ]
            for name, customer in known
            if id(customer.plan) in plans
        },
        "strangers": {str(code): [[at, units] for at, units in used] for code, used in memory.strangers.items()},
        "shares": {str(code): percent for code, percent in memory.shares.items()},
        "links": {
            address: [
                *fields(link, LINK),
                link.ejections,
                [[kind, good, at] for kind, (good, at) in link.health.items()],
            ]
            for address, link in memory.links.items()
        },
    }


def restore(memory: Memory, settings: Settings, data: Any, now: float) -> tuple[list[float], list[float]]:
    """Take a snapshot over (SnapshotError), and give latency and faults by class.

    Attempts that the other process has out count as those of a peer do: told now, and soon forgotten.
    """
    try:
        if data["form"] != FORM or data["settings"] != fingerprint(settings):
            raise SnapshotError("of another form, or made under other settings")
        customers = {
            str(name): customer(settings, zlib.crc32(str(name).encode()), values, now)
            for name, values in data["customers"].items()
        }
        plain = numbers(data["memory"], len(MEMORY))
        latency, faults = (numbers(data[name], len(settings.classes)) for name in ("latency", "faults"))
        waits = numbers(data["waits"], None)
        strangers = {
            int(code): [tuple(numbers(entry, 2)) for entry in used] for code, used in data["strangers"].items()
        }
        shares = {int(code): number(percent) for code, percent in data["shares"].items()}
        links = {
            address: read_link(memory.links[address], values)
            for address, values in data["links"].items()
            if address in memory.links
        }
    except SnapshotError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise SnapshotError(f"not in the form: {error!r}") from None
    memory.customers, memory.codes = customers, {known.code: known for known in customers.values()}
    for known in customers.values():
        known.owned = memory.owner.account(known, now) if memory.owner is not None else None
    for name, value in zip(MEMORY, plain, strict=True):
        setattr(memory, name, value)
    memory.waits, memory.shares = waits, shares
    memory.strangers = {code: [(at, units) for at, units in used] for code, used in strangers.items()}
    for address, (values, ejections, health) in links.items():
        link = memory.links[address]
        for name, value in zip(LINK, values, strict=True):
            setattr(link, name, None if name == "cold_since" and value == -math.inf else value)
        link.ejections, link.health = ejections, health
    return latency, faults


def customer(settings: Settings, code: int, values: Any, now: float) -> Customer:
    """Read one customer."""
    plan = values[0]
    heard, total_of, out, elsewhere = values[-4:]
    if not 0 <= plan < len(settings.plans):
        raise SnapshotError(f"no plan {plan}")
    plain = dict(zip(CUSTOMER, numbers(values[1:-4], len(CUSTOMER)), strict=True))
    read = Customer(
        settings.plans[plan], int(plain["set_size"]), code, plain["seen"], plain["news_at"], int(plain["set_first"])
    )
    for name, value in plain.items():
        if name not in WHOLE:
            setattr(read, name, value)
    read.heard, read.total_of = bool(heard), int(total_of)
    read.elsewhere = {int(peer): (number(count), number(at)) for peer, count, at in elsewhere}
    if out:
        read.elsewhere[settings.position] = number(out), now
    return read


def read_link(link: Link, values: Any) -> tuple[list[float], int, dict[int, tuple[float, float]]]:
    """Read what was known of one server."""
    plain = numbers(values[: len(LINK)], len(LINK))
    ejections, health = values[len(LINK) :]
    return plain, int(ejections), {int(kind): (number(good), number(at)) for kind, good, at in health}


def fields(record: object, names: tuple[str, ...]) -> list[float | None]:
    """Give some fields; what is infinite or not set is told as none."""
    values = (getattr(record, name) for name in names)
    return [
        value if value is not None and math.isfinite(value) else None if value is None or value < 0 else 1e300
        for value in values
    ]


def numbers(values: Any, count: int | None) -> list[float]:
    """Read a list of numbers; none stands for minus infinity."""
    if not isinstance(values, list) or (count is not None and len(values) != count):
        raise SnapshotError(f"a list of {count} numbers is wanted")
    return [number(value) for value in values]


def number(value: Any) -> float:
    """Read a number."""
    if value is None:
        return -math.inf
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise SnapshotError(f"not a number: {value!r}")
    return math.inf if value >= 1e300 else float(value)
