"""What the core of membership is told, and what it answers: events and actions as values."""

from __future__ import annotations

from dataclasses import dataclass

# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A message of membership came from the address of member ``sender``."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Sign:
    """Anything else came from there: the link works."""

    sender: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Told to end."""


@dataclass(frozen=True, slots=True)
class Quiet:
    """A newer process of this member speaks from now on."""


Event = Tick | Heard | Sign | Leave | Quiet


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Tell member ``to``, or all where it is None."""

    to: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state or life has changed here, or this process found that it was away (``number`` its own)."""

    number: int
    state: str
    life: int
    why: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """A message was not taken; ``why`` is counted."""

    why: str


Action = Send | Changed | Dropped
