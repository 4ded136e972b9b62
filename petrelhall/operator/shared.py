"""The shared part of the operators' file: what all gateways must agree on, and what it makes of their settings.

A document is this part alone, written one way only, so that the same policy has the same digest everywhere.
"""

from __future__ import annotations

import dataclasses
from typing import TypeVar

import msgspec

from petrelhall.decide import interface as api
from petrelhall.operator.file import OperatorError, explain, unfit
from petrelhall.operator.settings import File, Limits, Shared, Shift

FIELDS = ("rate", "burst", "max_open", "ceiling_rate", "ceiling_burst")  # of a plan
N = TypeVar("N", int, float)


def encode(shared: Shared) -> bytes:
    """Write a document: what is at its default is left out, and keys are in order."""
    return msgspec.json.encode(shared, order="sorted")


def decode(content: bytes) -> Shared:
    """Read a document (OperatorError)."""
    try:
        return msgspec.json.decode(content, type=Shared)
    except msgspec.ValidationError as error:
        raise OperatorError(explain(str(error), msgspec.json.decode(content), Shared)) from None
    except msgspec.DecodeError as error:
        raise OperatorError(f"not JSON: {error}") from None


def refused(
    shared: Shared, file: File, settings: api.Settings, plans: tuple[str, ...], classes: tuple[str, ...]
) -> str:
    """Say why a document cannot be served by a gateway with these settings; empty where it can."""
    for name, limits in shared.plans.items():
        if name not in plans:
            return f"plans.{name}: no such plan; known: {', '.join(plans)}"
        plan = plan_of(settings.plans[plans.index(name)], limits)
        if plan.rate > 0.0 and plan.burst < settings.largest_units:
            return f"plans.{name}.burst: {plan.burst:g} holds no request of {settings.largest_units:g} units"
        if plan.ceiling_rate > 0.0 and plan.ceiling_rate < plan.rate:
            return f"plans.{name}.ceiling_rate: {plan.ceiling_rate:g} is below the rate, {plan.rate:g}"
        if plan.ceiling_rate > 0.0 and plan.ceiling_burst < settings.largest_units:
            return f"plans.{name}.ceiling_burst: {plan.ceiling_burst:g} holds no request"
    for name, limit in shared.classes.items():
        if name not in classes:
            return f"classes.{name}: no such class; known: {', '.join(classes)}"
        aim = settings.classes[classes.index(name)].aim_ms
        if limit.deadline_ms < aim:
            return f"classes.{name}.deadline_ms: {limit.deadline_ms:g} is below what is aimed at, {aim:g}"
    if shared.move is not None:
        if file.shift is None:
            return "move: this gateway's file has no pools"
        for reason in unfit(msgspec.structs.replace(file.shift, move=shared.move)):
            return reason
    return ""


def plan_of(plan: api.Plan, limits: Limits | None) -> api.Plan:
    """Give a plan with what a document says of it."""
    if limits is None:
        return plan
    changed = {name: value for name in FIELDS if (value := getattr(limits, name)) is not None}
    return dataclasses.replace(plan, **changed)


def plans_of(shared: Shared, settings: api.Settings, names: tuple[str, ...]) -> tuple[api.Plan, ...]:
    """Give all plans as a document has them."""
    return tuple(plan_of(plan, shared.plans.get(name)) for name, plan in zip(names, settings.plans, strict=True))


def deadlines_of(shared: Shared, settings: api.Settings, names: tuple[str, ...]) -> tuple[float, ...]:
    """Give the longest deadline of each class: the platform's, or a document's where that is shorter."""
    return tuple(
        min(kind.deadline_ms, shared.classes[name].deadline_ms) if name in shared.classes else kind.deadline_ms
        for name, kind in zip(names, settings.classes, strict=True)
    )


def least(one: N, other: N) -> N:
    """Give the stricter of two limits, where 0 stands for none."""
    return min(one, other) if one and other else max(one, other)


def strictest(one: tuple[api.Plan, ...], other: tuple[api.Plan, ...]) -> tuple[api.Plan, ...]:
    """Give plans that keep within both."""
    return tuple(
        dataclasses.replace(first, **{name: least(getattr(first, name), getattr(second, name)) for name in FIELDS})
        for first, second in zip(one, other, strict=True)
    )


def shift_of(shared: Shared, before: Shared | None, file: File) -> Shift | None:
    """Give pools and move: the file's pools, and the document's move where it has one.

    Between two documents that differ in it, the move holds where it is: neither may be gone on with.
    """
    move = shared.move
    if before is not None and before.move != move:
        move = before.move or move
        move = msgspec.structs.replace(move, order="pause") if move is not None else None
    if file.shift is None or move is None:
        return file.shift
    return msgspec.structs.replace(file.shift, move=move)
