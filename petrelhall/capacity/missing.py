"""Mechanisms that are missing at a size, in order of how far what runs today misses its budgets. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from petrelhall.capacity.figures import LEARNERS, Quantity, Role
from petrelhall.capacity.tables import Figure, Tables


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One mechanism, and the figures that it is there for."""

    name: str
    takes: str  # what it would take
    answers: tuple[tuple[Role, Quantity, str], ...]
    carried_by: str = ""  # of figures that were measured with its first piece


class Missing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One mechanism with the figure that misses most without it."""

    name: str
    takes: str
    miss: float | None  # ``None``: none of its figures is measured against a budget
    figure: str  # the figure that misses by that factor
    unmeasured: tuple[str, ...]  # its figures that are not measured
    begun: bool  # whether its first piece is built and measured: off by default, so today's figures are without it


MECHANISMS = (
    Mechanism(
        "configuration distribution with learners",
        "five control replicas decide among themselves; gateways hold one watch at a distributor, are sent changes "
        "only, renew short leases through it in aggregates, and do not vote",
        (
            (Role.CONTROL, Quantity.DURATION, "lease"),
            (Role.CONTROL, Quantity.DURATION, "change in force, all gateways up (simulated)"),
            (Role.CONTROL, Quantity.DURATION, "change in force, one gateway silent"),
            (Role.CONTROL, Quantity.STATE_BYTES, "configuration"),
            (Role.CONTROL, Quantity.BYTES_IN, "configuration changes"),
            (Role.CONTROL, Quantity.CPU, "configuration changes"),
            (Role.CONTROL, Quantity.TURN, "a configuration change"),
            (Role.CONTROL, Quantity.CPU, "consensus"),
            (Role.CONTROL, Quantity.BYTES_OUT, "consensus (the busiest gateway)"),
        ),
        LEARNERS,
    ),
    Mechanism(
        "membership in regions",
        "heartbeats within a region or a smaller group only, one summary of each group through the distributors; a "
        "gateway then knows some hundred members and not all",
        (
            (Role.CONTROL, Quantity.DURATION, "failed gateway found (held to 4 s)"),
            (Role.CONTROL, Quantity.DURATION, "cut link found (held to 4 s)"),
            (Role.CONTROL, Quantity.CPU, "membership"),
            (Role.CONTROL, Quantity.BYTES_OUT, "membership"),
            (Role.CONTROL, Quantity.MEMORY, "membership"),
        ),
    ),
    Mechanism(
        "incremental decoding of server lists",
        "a whole list read in slices of at most 1 ms between requests, and a change applied to its entry alone, "
        "without work that grows with the list",
        (
            (Role.CONTROL, Quantity.TURN, "a whole list of servers"),
            (Role.CONTROL, Quantity.TURN, "a change of the list of servers"),
            (Role.CONTROL, Quantity.DELAYED, "lists of servers and configuration"),
            (Role.CONTROL, Quantity.CPU, "changes of the list of servers"),
            (Role.CONTROL, Quantity.CPU, "whole lists of servers"),
            (Role.CONTROL, Quantity.BYTES_IN, "whole lists of servers"),
        ),
    ),
    Mechanism(
        "servers and tenants in subsets",
        "deterministic subsetting: a gateway holds connections to, and state of, a part of each service's servers, and "
        "takes the requests of a part of the tenants",
        (
            (Role.SERVING, Quantity.TURN, "interval of the decision module, by servers"),
            (Role.SERVING, Quantity.TURN, "clock of the pool"),
            (Role.SERVING, Quantity.DELAYED, "clocks of decision module and pool, each turn as long as the longest"),
            (Role.SERVING, Quantity.TURN, "sweep of tenants"),
            (Role.SERVING, Quantity.TURN, "all tenants forgotten at once"),
            (Role.SERVING, Quantity.CPU, "decisions"),
            (Role.SERVING, Quantity.CPU, "choice of connections"),
            (Role.CONTROL, Quantity.BYTES_OUT, "load messages"),
        ),
    ),
    Mechanism(
        "quotas at this size",
        "a tenant's token bucket owned by few gateways, found by hashing, and a counter in shards by tenant",
        (
            (Role.CONTROL, Quantity.CPU, "quotas"),
            (Role.CONTROL, Quantity.TURN, "quotas"),
            (Role.CONTROL, Quantity.DELAYED, "clock of the quotas, each turn as long as the longest"),
            (Role.CONTROL, Quantity.MEMORY, "quotas"),
            (Role.CONTROL, Quantity.BYTES_OUT, "quotas"),
            (Role.COUNTER, Quantity.CPU, "calls"),
        ),
    ),
    Mechanism(
        "an agent of discovery",
        "a process on each control machine that watches the servers' health, merges changes and fans them out to the "
        "gateways' watches",
        (
            (Role.DISCOVERY, Quantity.CPU, "all"),
            (Role.DISCOVERY, Quantity.DESCRIPTORS, "watches"),
        ),
    ),
    Mechanism(
        "group commit",
        "changes that come within a few ms share one decision and one write to disk",
        ((Role.REPLICA, Quantity.DURATION, "one decision written to disk"),),
    ),
    Mechanism(
        "compaction of a long log",
        "a snapshot of the configuration every so many versions, and the log before it dropped",
        ((Role.REPLICA, Quantity.STATE_BYTES, "log"),),
    ),
)


def missing(worked_out: Tables) -> tuple[Missing, ...]:
    """Give the mechanisms, the one whose figures miss most first and those without a measured figure last."""
    figures = {(figure.role, figure.quantity, figure.subject): figure for figure in worked_out.figures}
    carriers = {figure.carried_by for figure in worked_out.figures}
    found = [
        one_missing(mechanism, [figures[key] for key in mechanism.answers], mechanism.carried_by in carriers)
        for mechanism in MECHANISMS
    ]
    return tuple(sorted(found, key=lambda one: -1.0 if one.miss is None else one.miss, reverse=True))


def one_missing(mechanism: Mechanism, figures: list[Figure], begun: bool) -> Missing:
    """Find the figure that misses most without one mechanism."""
    judged = [(figure.miss, figure) for figure in figures if figure.miss is not None]
    unmeasured = tuple(told(figure) for figure in figures if figure.worst is None)
    if not judged:
        return Missing(mechanism.name, mechanism.takes, None, "", unmeasured, begun)
    miss, figure = max(judged, key=lambda pair: pair[0])
    return Missing(mechanism.name, mechanism.takes, miss, told(figure), unmeasured, begun)


def told(figure: Figure) -> str:
    """Name a figure in a sentence."""
    text = f"{figure.role.value}, {figure.quantity.value}: {figure.subject}"
    return f"{text}; extrapolated" if figure.extrapolation > 1.0 else text
