"""Events and actions shared by the pure cores of membership, quota sharing and policy consensus."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

Recipient = TypeVar("Recipient", int, int | None)

# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from the address of member ``sender``."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Superseded:
    """A newer process has taken over this member's number; this one must send no further messages."""


# Actions


@dataclass(frozen=True, slots=True)
class Send(Generic[Recipient]):
    """Send a message to a member, or broadcast it (None) where the core supports that."""

    to: Recipient
    content: bytes


@dataclass(frozen=True, slots=True)
class Dropped:
    """A message was not accepted or not sent; the shell counts drops by ``reason``."""

    reason: str
