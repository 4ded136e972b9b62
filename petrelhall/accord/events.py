"""Input events and output actions of the consensus core."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.accord.votes import VoterState
from petrelhall.events import Dropped, MessageReceived, Send, Superseded, Tick

# Events


@dataclass(frozen=True, slots=True)
class Propose:
    """An operator proposes a document to replace version ``base``."""

    content: bytes
    base: int


@dataclass(frozen=True, slots=True)
class Abort:
    """An operator withdraws a proposed document, which is possible until it has been voted on."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class SettleSlot:
    """An operator wants the next slot decided, so that the outcome of any change pending in it becomes known."""


@dataclass(frozen=True, slots=True)
class DeclareVotersLost:
    """An operator states that all unreachable voters are lost for good, and would return without stored state."""


Event = Tick | MessageReceived | Propose | Abort | SettleSlot | DeclareVotersLost | Superseded


# Actions


@dataclass(frozen=True, slots=True)
class PersistState:
    """Persist a voter's state and the documents it refers to, durably and before any later action is carried out."""

    state: VoterState
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Serve:
    """Serve a version from now on, while the lease holds.

    With ``previous``, the document of the version before, the stricter of the two applies in each field.
    """

    version: int
    document: bytes
    previous: bytes | None


@dataclass(frozen=True, slots=True)
class Notice:
    """A text for the operators' log."""

    text: str


Action = Send[int] | PersistState | Serve | Notice | Dropped
