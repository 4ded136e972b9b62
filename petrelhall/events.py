"""Events and actions that the pure cores of membership, quotas and agreement have in common."""

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
    """A message came from the address of member ``sender``."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Superseded:
    """A newer process of this member speaks from now on."""


# Actions


@dataclass(frozen=True, slots=True)
class Send(Generic[Recipient]):
    """Send a message to a member, or, where a core has such messages, to all (None)."""

    to: Recipient
    content: bytes


@dataclass(frozen=True, slots=True)
class Dropped:
    """A message was not taken or not sent; ``reason`` is counted."""

    reason: str
