"""What the core of membership is told, and what it answers: events and actions as values."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.events import Dropped, MessageReceived, Send, Superseded, Tick

# Events


@dataclass(frozen=True, slots=True)
class Sign:
    """Anything else came from there: the link works."""

    sender: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Told to end."""


Event = Tick | MessageReceived | Sign | Leave | Superseded


# Actions


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state or incarnation has changed here, or this process found that it was away (``number`` its own)."""

    number: int
    state: str
    life: int
    why: str


Action = Send[int | None] | Changed | Dropped
