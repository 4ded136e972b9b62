"""What the core of agreement is told, and what it answers: events and actions as values."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.accord.votes import Memory
from petrelhall.events import Dropped, MessageReceived, Send, Superseded, Tick

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
class Settle:
    """An operator wants the next slot closed, so that what may be in it has a known end."""


@dataclass(frozen=True, slots=True)
class Begin:
    """An operator states that all voters not heard here are gone, and come back empty if they come back."""


Event = Tick | MessageReceived | Propose | Abort | Settle | Begin | Superseded


# Actions


@dataclass(frozen=True, slots=True)
class Keep:
    """Write this down, safely, before any of the actions that follow: a voter's memory, and the documents it names."""

    memory: Memory
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Serve:
    """What is served from now on, while the lease holds: a document, or the stricter of two in each field."""

    version: int
    document: bytes
    before: bytes | None


@dataclass(frozen=True, slots=True)
class Told:
    """Something that operators want to know."""

    what: str


Action = Send[int] | Keep | Serve | Told | Dropped
