"""Servers that operators have taken out, and when each was put back; kept in a file that survives an upgrade.

Pure: times are Unix milliseconds handed in; the file's bytes are made and read here and written by the caller.
Two processes of one gateway share the file during an upgrade: each mark carries when it was said, and the later
word on a server wins whichever process heard it.
"""

from __future__ import annotations

from dataclasses import dataclass

import ujson

FORM = 1  # of the file
MOST = 4096  # marks kept; a server that is out is never forgotten, the oldest of those put back are


class BansError(ValueError):
    """A file that is spoilt, of another form, or of another gateway; the text says which."""


@dataclass(frozen=True, slots=True)
class Mark:
    """The last word on a server: out or back, and when it was said (Unix ms)."""

    out: bool
    at_ms: float


class Bans:
    """The operators' word on servers, for one gateway by name."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.marks: dict[str, Mark] = {}

    def say(self, server: str, out: bool, now: float) -> bool:
        """Take a server out or put it back; True where that changes anything (a repeated call does not)."""
        mark = self.marks.get(server)
        if mark is not None and mark.out == out:
            return False
        if mark is None and not out:  # back, though never out: nothing to end
            return False
        self.marks[server] = Mark(out, max(now, mark.at_ms if mark else now))
        self.trim()
        return True

    def holds(self, server: str) -> bool:
        """Tell whether a server is out."""
        mark = self.marks.get(server)
        return mark is not None and mark.out

    def back_at(self, server: str) -> float:
        """Give when a server was last put back (Unix ms), 0 where it never was or is out."""
        mark = self.marks.get(server)
        return mark.at_ms if mark is not None and not mark.out else 0.0

    def merge(self, marks: dict[str, Mark]) -> bool:
        """Take what another process wrote; the later word on each server wins. True where anything changed."""
        changed = False
        for server, mark in marks.items():
            own = self.marks.get(server)
            if own is None or mark.at_ms > own.at_ms:
                changed = changed or own is None or own.out != mark.out
                self.marks[server] = mark
        self.trim()
        return changed

    def trim(self) -> None:
        """Forget the oldest servers that were put back, beyond the most that are kept."""
        if len(self.marks) > MOST:
            back = sorted((mark.at_ms, server) for server, mark in self.marks.items() if not mark.out)
            for _, server in back[: len(self.marks) - MOST]:
                del self.marks[server]

    def encode(self) -> bytes:
        """Give the file's content."""
        marks = {server: [int(mark.out), mark.at_ms] for server, mark in self.marks.items()}
        return ujson.dumps({"form": FORM, "gateway": self.gateway, "servers": marks}).encode()


def decode(data: bytes, gateway: str) -> dict[str, Mark]:
    """Read a file's content (BansError): the marks of this gateway's servers."""
    try:
        value = ujson.loads(data)
    except ValueError as error:
        raise BansError(f"not JSON: {error}") from None
    if not isinstance(value, dict) or value.get("form") != FORM:
        raise BansError(f"not of form {FORM}")
    if value.get("gateway") != gateway:
        raise BansError(f"of gateway {value.get('gateway')!r}, not {gateway!r}")
    servers = value.get("servers")
    if not isinstance(servers, dict):
        raise BansError("servers: must be an object")
    marks = {}
    for server, mark in servers.items():
        if (
            not isinstance(mark, list)
            or len(mark) != 2
            or mark[0] not in (0, 1)
            or not isinstance(mark[1], int | float)
            or isinstance(mark[1], bool)
        ):
            raise BansError(f"servers.{server}: must be [0 or 1, Unix ms]")
        marks[server] = Mark(bool(mark[0]), float(mark[1]))
    return marks
