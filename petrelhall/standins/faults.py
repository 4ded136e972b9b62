"""The fault script: what goes wrong when, as JSON with a schema."""

from __future__ import annotations

import random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(ge=0.0, le=86400.0)]


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that happens; ``boxes`` are numbers, none named means all."""

    at_s: Seconds
    do: Literal[
        "idle_limit",
        "slow",
        "refuse",
        "hang",
        "mute",
        "cap",
        "break",
        "heal",
        "crash",
        "restart",
        "replace",
        "drain",
        "undrain",
        "add",
        "kill_gateway",
        "restart_gateway",
    ]
    boxes: tuple[int, ...] = ()
    gateway: int = 0
    low_s: Seconds = 0.0  # idle_limit: range from which each idle spell's limit is drawn; 0 for none
    high_s: Seconds = 0.0
    mode: Literal["close", "silent", "mute"] = "silent"
    factor: Annotated[float, Meta(gt=0.0)] = 1.0  # slow
    count: Annotated[int, Meta(ge=0)] = 0  # cap
    share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0  # break


class Script(Struct, frozen=True, forbid_unknown_fields=True):
    """All that happens in a run."""

    faults: tuple[Fault, ...] = ()


def read(path: str) -> Script:
    """Read a script (msgspec.MsgspecError or OSError where it cannot be used)."""
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=Script)


def changing_limits(seconds: float, boxes: int, seed: int) -> Script:
    """Make the soak's own script: hidden idle limits from 0.3 s up that change every 45 s, and restarts."""
    draw = random.Random(f"{seed}/faults")
    faults = []
    at = 0.0
    while at < seconds:
        for box in range(boxes):
            low = draw.choice((0.3, 0.4, 0.6, 0.9, 2.0, 8.0, 30.0))
            high = low * draw.choice((1.0, 1.0, 1.5))
            faults.append(
                Fault(at, "idle_limit", (box,), low_s=low, high_s=high, mode=draw.choice(("silent", "silent", "close")))
            )
        at += 45.0
    at = 20.0
    while at < seconds - 15.0:
        faults.append(Fault(at, draw.choice(("restart", "replace", "crash")), (draw.randrange(boxes),)))
        at += 30.0
    return Script(tuple(sorted(faults, key=lambda fault: fault.at_s)))
