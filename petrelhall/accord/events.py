"""What the core of agreement is told, and what it answers: events and actions as values."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.accord.votes import VoterState
from petrelhall.events import Dropped, Heard, Quiet, Send, Tick

# Events


@dataclass(frozen=True, slots=True)
class Propose:
    """An operator wants a document in place of version ``base``."""

    content: bytes
    base: int


@dataclass(frozen=True, slots=True)
class Abort:
    """An operator takes back what has not been voted on."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class SettleSlot:
    """An operator wants the next slot closed, so that what may be in it has a known end."""


@dataclass(frozen=True, slots=True)
class DeclareVotersLost:
    """An operator states that all voters not heard here are gone, and come back empty if they come back."""


Event = Tick | Heard | Propose | Abort | SettleSlot | DeclareVotersLost | Quiet


# Actions


@dataclass(frozen=True, slots=True)
class PersistState:
    """Write this down, safely, before any of the actions that follow: a voter's memory, and the documents it names."""

    state: VoterState
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Serve:
    """What is served from now on, while the lease holds: a document, or the stricter of two in each field."""

    version: int
    document: bytes
    previous: bytes | None


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that operators want to know."""

    text: str


Action = Send[int] | PersistState | Serve | Notice | Dropped
