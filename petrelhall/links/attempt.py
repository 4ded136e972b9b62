"""Value types for one attempt at a server: its progress, its result and the verdict on its response."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

from petrelhall.decide.interface import Ending
from petrelhall.http.h1 import Headers, HttpResponse, StreamingBody


class AttemptProgress(IntEnum):
    """How far an attempt had progressed when it ended."""

    UNWRITTEN = 0  # not completely written, so the server did not run it
    WRITTEN = 1  # the server may have run it
    ANSWERED = 2  # a complete response was received


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt. ``reply`` is the server's response, in the gateway's HTTP types, if it is complete."""

    ending: Ending
    progress: AttemptProgress
    reason: str = ""
    reply: Any = None
    report: Mapping[str, float] = field(default_factory=dict)
    used: float | None = None
    body_sent_at: float = 0.0  # Unix ms of the last byte of a streamed body; the server runs the request from then on


@dataclass(frozen=True, slots=True)
class ResponseVerdict:
    """Interpretation of a complete response."""

    ending: Ending
    report: Mapping[str, float]
    used: float | None = None


class RequestCodec(Protocol):
    """Encodes requests and interprets responses in the platform's format."""

    def outgoing(self, message: Any, wait_ms: float) -> tuple[bytes, bytes, Headers, bytes]:
        """Return method, target, headers and body."""

    def rest(self, message: Any) -> StreamingBody | None:
        """Return the remainder of a streamed request body, if the message has one."""

    def verdict(self, reply: HttpResponse) -> ResponseVerdict:
        """Interpret a response."""
