"""What an attempt at a box came to, as values: how far it got, how it ended, what the answer means."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

from petrelhall.decide.interface import Ending
from petrelhall.http.h1 import Headers, HttpResponse, StreamingBody


class Reach(IntEnum):
    """How far an attempt had come when it ended."""

    UNWRITTEN = 0  # not all of it written: it never ran
    WRITTEN = 1  # it may have run
    ANSWERED = 2  # an answer came whole


@dataclass(frozen=True, slots=True)
class Result:
    """How an attempt ended. ``reply`` is the server's answer, in the front's own terms, where it is whole."""

    ending: Ending
    reach: Reach
    reason: str = ""
    reply: Any = None
    report: Mapping[str, float] = field(default_factory=dict)
    used: float | None = None
    asked_at: float = 0.0  # Unix ms of the last byte of a body that was passed on as it came: from then on it ran


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a whole answer means."""

    ending: Ending
    report: Mapping[str, float]
    used: float | None = None


class Wording(Protocol):
    """The platform's way to put an attempt."""

    def outgoing(self, message: Any, wait_ms: float) -> tuple[bytes, bytes, Headers, bytes]:
        """Give method, target, headers and body."""

    def rest(self, message: Any) -> StreamingBody | None:
        """Give the rest of a body that is passed on as it comes, if the message has one."""

    def verdict(self, reply: HttpResponse) -> Verdict:
        """Read an answer."""
