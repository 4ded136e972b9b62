"""What befalls gateways and the ways between them in a drill: a script as JSON with a schema, or drawn from a seed."""

from __future__ import annotations

import random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(ge=0.0, le=86400.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]


Kind = Literal["cut", "flap", "stop", "starve", "kill", "leave", "upgrade"]
KINDS: tuple[Kind, ...] = ("kill", "kill", "stop", "stop", "cut", "cut", "cut", "flap", "leave", "upgrade", "starve")


class Noise(Struct, frozen=True, forbid_unknown_fields=True):
    """How all ways fare the whole time."""

    loss: Share = 0.0
    low_ms: Annotated[float, Meta(ge=0.0, le=5000.0)] = 0.0
    high_ms: Annotated[float, Meta(ge=0.0, le=5000.0)] = 0.0
    repeat: Share = 0.0
    spoil: Share = 0.0
    per_s: Annotated[float, Meta(ge=0.0)] = 0.0


class Strike(Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that happens, for so long.

    ``cut`` and ``flap`` (cut and open in turns) concern the ways from ``gateways`` to ``towards`` (none: all others),
    and back unless ``one_way``. The others concern each of ``gateways``: ``stop`` by SIGSTOP, ``starve`` by turns of
    it, ``kill`` by SIGKILL and ``leave`` by SIGTERM, both with a start after ``for_s``, ``upgrade`` by a second
    process.
    """

    at_s: Seconds
    do: Kind
    gateways: tuple[int, ...]
    for_s: Seconds = 0.0
    towards: tuple[int, ...] = ()
    one_way: bool = False


class Play(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole drill's troubles."""

    noise: Noise = Noise()
    strikes: tuple[Strike, ...] = ()


def read(path: str) -> Play:
    """Read a script (msgspec.MsgspecError or OSError where it cannot be used)."""
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=Play)


def schema() -> bytes:
    """Give the script's JSON schema."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(Play), order="sorted"), indent=2) + b"\n"


def drawn(seconds: float, gateways: int, seed: int, settle_s: float = 4.0, rest_s: float = 6.0) -> Play:
    """Draw a play: noise all along, and strikes that overlap now and then, with calm at the begin and the end."""
    draw = random.Random(f"{seed}/strikes")
    noise = Noise(
        loss=draw.uniform(0.0, 0.2),
        high_ms=draw.choice((20.0, 80.0, 150.0, 300.0)),
        repeat=draw.uniform(0.0, 0.1),
        spoil=draw.uniform(0.0, 0.05),
    )
    everyone = list(range(gateways))
    strikes = []
    free = [settle_s] * gateways  # from when each may be struck again
    at = settle_s
    while at < seconds - rest_s - 1.0:
        do = draw.choice(KINDS)
        length = {
            "kill": draw.choice((0.0, 1.0, 7.0)),
            "stop": draw.choice((0.5, 2.0, 10.0)),
            "cut": draw.uniform(2.0, 9.0),
            "flap": 4.0,
            "leave": 1.0,
            "upgrade": 3.0,
            "starve": 3.0,
        }[do]
        length = min(length, max(0.0, seconds - rest_s - at))
        idle = [number for number in everyone if free[number] <= at]
        if do in ("cut", "flap"):
            some = tuple(sorted(draw.sample(everyone, draw.randint(1, max(1, gateways // 2)))))
            rest = [number for number in everyone if number not in some]
            towards = tuple(sorted(draw.sample(rest, draw.randint(1, len(rest))))) if draw.random() < 0.5 else ()
            strikes.append(Strike(at, do, some, length, towards, draw.random() < 0.35))
        elif idle:
            # Two processes at once now and then, but always fewer than half by the same strike.
            count = min(len(idle), draw.choice((1, 1, 1, 2)), max(1, (gateways - 1) // 2))
            hit = tuple(sorted(draw.sample(idle, count)))
            if do == "upgrade":
                hit = hit[:1]
            for number in hit:
                free[number] = at + length + 4.0
            strikes.append(Strike(at, do, hit, length))
        at += draw.uniform(1.0, max(2.0, length))
    return Play(noise, tuple(strikes))


def bearable(play: Play, gateways: int, empty_s: float) -> Play:
    """Leave out what would have a majority started empty at once.

    One that has started knows nothing for so long, and while others that it must hear are stopped or cut off.
    """
    kept: list[Strike] = []
    quiet = [(one.at_s, one.at_s + one.for_s) for one in play.strikes if one.do not in ("kill", "leave", "upgrade")]

    def until(end: float) -> float:
        later = max((over for start, over in quiet if start < end), default=0.0) + empty_s
        return end if later <= end else until(later)

    empty: list[tuple[float, float, int]] = []
    for strike in sorted(play.strikes, key=lambda one: one.at_s):
        if strike.do in ("kill", "leave", "upgrade"):
            spell = strike.at_s, until(strike.at_s + strike.for_s + empty_s)
            others = {number for start, end, number in empty if start < spell[1] and spell[0] < end}
            if len(others | set(strike.gateways)) > (gateways - 1) // 2:
                continue
            empty += [(*spell, number) for number in strike.gateways]
        kept.append(strike)
    return Play(play.noise, tuple(kept))
