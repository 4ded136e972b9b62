"""Snapshot of a gateway's state that one process hands to its successor at an upgrade. No input or output.

A snapshot holds plain values only, so that any file format can carry it. One that is malformed, or was made under
other settings, is refused as a whole (SnapshotError). Requests in flight are not part of it: they end in the process
that accepted them.
"""

from __future__ import annotations

import math
import zlib
from typing import Any

from petrelhall.decide.interface import Plan, Settings
from petrelhall.decide.state import Customer, GatewayState, ServerState

FORMAT_VERSION = 1
# Customers in a snapshot, those seen last: the others start anew when they return.
MAX_CUSTOMERS = 4000
# The attributes below are stored as lists without names: their order is part of the format.
CUSTOMER_FIELDS = (
    "set_size",
    "set_first",
    "seen_at",
    "others_reported_at",
    "refilled_at",
    "bucket",
    "shared_bucket",
    "overflow",
    "admit_share",
    "ceiling_bucket",
    "demand",
    "sent_rate",
    "others_rate",
    "counter_total",
    "counter_level",
    "counter_level_at",
    "throttle_rate",
    "throttle_bucket",
)
SERVER_FIELDS = (
    "limit",
    "cold_tokens",
    "cold_tokens_at",
    "limit_cut_at",
    "other_load",
    "reported_at",
    "slowness",
    "normalized_latency",
    "measured_at",
    "last_sent_at",
    "answer_at",
    "ejected_until",
    "down_at",
    "cold_since",
)
GATEWAY_FIELDS = (
    "started",
    "peer_message_at",
    "counter_sampling_share",
    "counter_reply_at",
    "counter_failure_at",
    "warm_rate",
    "mean_load",
    "retry_budget",
    "admission_rate",
    "admit_tokens",
    "admit_tokens_at",
    "avg_admitted",
)
INTEGER_FIELDS = {"set_size", "set_first"}  # set by the constructor of Customer


class SnapshotError(ValueError):
    """A snapshot that cannot be used; the text gives the reason."""


def fingerprint(settings: Settings) -> int:
    """Return a checksum of the plans, the classes and this gateway's position among the gateways."""
    return zlib.crc32(repr((settings.plans, settings.classes, settings.gateways, settings.position)).encode())


def take(
    state: GatewayState,
    settings: Settings,
    latency: list[float],
    failure_rates: list[float],
    active_plans: tuple[Plan, ...] = (),
) -> dict[str, Any]:
    """Return a snapshot of the current state; ``active_plans`` are the plans in use, if not those of the settings."""
    plans = {id(plan): index for index, plan in enumerate(active_plans or settings.plans)}
    starts = {address: server.server.since_ms for address, server in state.servers.items() if server.server.since_ms}
    latest = sorted(state.customers.items(), key=lambda named: named[1].seen_at)[-MAX_CUSTOMERS:]
    return {
        "form": FORMAT_VERSION,
        "settings": fingerprint(settings),
        "at": state.now,
        "memory": read_fields(state, GATEWAY_FIELDS),
        "latency": latency,
        "faults": failure_rates,
        "waits": state.normalized_latencies,
        "customers": {
            name: [
                plans[id(customer.plan)],
                *read_fields(customer, CUSTOMER_FIELDS),
                customer.use_known,
                customer.counter_total_name,
                customer.open_attempts,
                [[peer, count, at] for peer, (count, at) in customer.peer_open_attempts.items()],
            ]
            for name, customer in latest
            if id(customer.plan) in plans
        },
        "strangers": {str(code): [[at, units] for at, units in used] for code, used in state.unknown_use.items()},
        "shares": {str(code): percent for code, percent in state.admit_shares.items()},
        "links": {
            address: [
                *read_fields(server, SERVER_FIELDS),
                server.ejections,
                [[class_index, success_chance, at] for class_index, (success_chance, at) in server.health.items()],
            ]
            for address, server in state.servers.items()
        },
        "starts": starts,
    }


def restore(state: GatewayState, settings: Settings, data: Any, now: float) -> tuple[list[float], list[float]]:
    """Load a snapshot into ``state``, and return the latency per unit (ms) and the failure rate, each by class.

    Raises SnapshotError, with ``state`` unchanged. Attempts that the other process has open count as those of a peer
    reported now, which soon expire.
    """
    try:
        if data["form"] != FORMAT_VERSION or data["settings"] != fingerprint(settings):
            raise SnapshotError("of another format version, or made under other settings")
        customers = {
            str(name): parse_customer(settings, zlib.crc32(str(name).encode()), values, now)
            for name, values in data["customers"].items()
        }
        gateway_values = parse_numbers(data["memory"], len(GATEWAY_FIELDS))
        latency, failure_rates = (parse_numbers(data[name], len(settings.classes)) for name in ("latency", "faults"))
        normalized_latencies = parse_numbers(data["waits"], None)
        unknown_use = {
            int(code): [tuple(parse_numbers(entry, 2)) for entry in used] for code, used in data["strangers"].items()
        }
        admit_shares = {int(code): parse_number(percent) for code, percent in data["shares"].items()}
        # An older version does not say when servers started.
        starts = {str(address): parse_number(since_ms) for address, since_ms in data.get("starts", {}).items()}
        started_by = 0.0 if "starts" in data else math.inf
        servers = {
            address: parse_server(state.servers[address], values)
            for address, values in data["links"].items()
            # One that has started since is another server: what was measured of the former one does not hold for it.
            if address in state.servers and state.servers[address].server.since_ms <= starts.get(address, started_by)
        }
    except SnapshotError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise SnapshotError(f"malformed: {error!r}") from None
    state.customers, state.by_code = customers, {customer.code: customer for customer in customers.values()}
    for customer in customers.values():
        customer.owned_quota = state.quota_owner.account(customer, now) if state.quota_owner is not None else None
    for name, value in zip(GATEWAY_FIELDS, gateway_values, strict=True):
        setattr(state, name, value)
    state.normalized_latencies, state.admit_shares = normalized_latencies, admit_shares
    state.unknown_use = {code: [(at, units) for at, units in used] for code, used in unknown_use.items()}
    for address, (values, ejections, health) in servers.items():
        server = state.servers[address]
        for name, value in zip(SERVER_FIELDS, values, strict=True):
            setattr(server, name, None if name == "cold_since" and value == -math.inf else value)
        server.ejections, server.health = ejections, health
    return latency, failure_rates


def parse_customer(settings: Settings, code: int, values: Any, now: float) -> Customer:
    """Return a customer from its stored list."""
    plan = values[0]
    use_known, counter_total_name, open_attempts, peer_open_attempts = values[-4:]
    if not 0 <= plan < len(settings.plans):
        raise SnapshotError(f"unknown plan {plan}")
    numbers = dict(zip(CUSTOMER_FIELDS, parse_numbers(values[1:-4], len(CUSTOMER_FIELDS)), strict=True))
    customer = Customer(
        settings.plans[plan],
        int(numbers["set_size"]),
        code,
        numbers["seen_at"],
        numbers["others_reported_at"],
        int(numbers["set_first"]),
    )
    for name, value in numbers.items():
        if name not in INTEGER_FIELDS:
            setattr(customer, name, value)
    customer.use_known, customer.counter_total_name = bool(use_known), int(counter_total_name)
    customer.peer_open_attempts = {
        int(peer): (parse_number(count), parse_number(at)) for peer, count, at in peer_open_attempts
    }
    if open_attempts:
        customer.peer_open_attempts[settings.position] = parse_number(open_attempts), now
    return customer


def parse_server(server: ServerState, values: Any) -> tuple[list[float], int, dict[int, tuple[float, float]]]:
    """Return a server's fields, ejections and health by class from its stored list."""
    numbers = parse_numbers(values[: len(SERVER_FIELDS)], len(SERVER_FIELDS))
    ejections, health = values[len(SERVER_FIELDS) :]
    return (
        numbers,
        int(ejections),
        {int(index): (parse_number(success_chance), parse_number(at)) for index, success_chance, at in health},
    )


def read_fields(record: object, names: tuple[str, ...]) -> list[float | None]:
    """Return attributes of a record as storable numbers: None for unset and -infinity, 1e300 for +infinity."""
    values = (getattr(record, name) for name in names)
    return [
        value if value is not None and math.isfinite(value) else None if value is None or value < 0 else 1e300
        for value in values
    ]


def parse_numbers(values: Any, count: int | None) -> list[float]:
    """Return a stored list of numbers, of the given length if there is one."""
    if not isinstance(values, list) or (count is not None and len(values) != count):
        raise SnapshotError(f"expected a list of {count} numbers")
    return [parse_number(value) for value in values]


def parse_number(value: Any) -> float:
    """Return a stored number: None stands for -infinity, 1e300 and more for +infinity."""
    if value is None:
        return -math.inf
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise SnapshotError(f"not a number: {value!r}")
    return math.inf if value >= 1e300 else float(value)
