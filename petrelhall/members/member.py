"""What a gateway knows of another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

State = Literal["unknown", "here", "doubt", "failed", "left"]


@dataclass(slots=True)
class Member:
    """What this gateway knows of another."""

    state: State = "unknown"
    life: int = 0
    since: float = 0.0  # of the state
    begun: float = float("-inf")  # when its incarnation was first heard of
    counter: int = 0
    fresh: float = float("-inf")  # when its counter last stepped, by whoever told
    heard: float = float("-inf")  # when anything last came from it
    seq: int = 0
    spoke: float = float("-inf")  # when its last message was taken
    hears: int = 0  # bitmaps as it last told them
    misses: int = 0
    old: bool = False  # it said that its view was old
    clashed: float = float("-inf")  # when its number was last claimed in two places
